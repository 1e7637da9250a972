//! Hot restart: transfers the listening socket and the decision module's state from the serving process to a new
//! process on the same machine, over a Unix socket in `$TMPDIR`.
//!
//! At any time exactly one of the two processes accepts connections. A failed transfer never leaves the address
//! without a process that serves it: the new process starts without state, or the old one continues.
//!
//! Protocol: on connect, the serving process sends one byte with the listening socket attached (`SCM_RIGHTS`). On
//! SIGTERM it sends once a big-endian length of four bytes and that many bytes of CBOR ([`Handover`]), and the new
//! process answers with one byte when it begins to accept. If the connection ends without a handover, the serving
//! process has exited and the new one starts without state.

use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use serde::{Deserialize, Serialize};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;
use whinstall::ExportedState;

/// Timeout for the serving process to send the listening socket, and to send the body of a handover.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the new process to confirm that it accepts connections; without confirmation the old process continues
/// to serve.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of an encoded [`Handover`], in bytes.
const MAX_HANDOVER_BYTES: usize = 8 << 20;
/// Maximum length of the path of the Unix socket, in bytes; the kernel's limit is 108.
const MAX_PATH_BYTES: usize = 100;
/// Maximum length of the gatekeeper's name within the path, in characters; a longer name is truncated.
const MAX_NAME_CHARS: usize = 32;
/// Backlog of the clients' listening socket.
const LISTEN_BACKLOG: i32 = 1024;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// File descriptors reserved for hot restart: the Unix socket, the connection to the new process, and the descriptors
/// that the new process holds until it takes over.
pub const RESERVED_DESCRIPTORS: usize = 28;

/// State that the serving process transfers to the new one on SIGTERM. Newer and older versions of the program read
/// the serialized form.
#[derive(Serialize, Deserialize, Default)]
#[serde(default)]
pub struct Handover {
    /// The decision module's state.
    #[serde(rename = "legacy")]
    pub state: ExportedState,
    /// Whether the gatekeeper is on standby.
    #[serde(rename = "standby")]
    pub is_standby: bool,
    /// Upper bound of the file descriptors that the old process holds until it exits.
    pub descriptors: usize,
}

/// Path of the Unix socket for hot restarts of the gatekeeper called `name`. `None` if `$TMPDIR` is not set or the path
/// is longer than [`MAX_PATH_BYTES`].
pub fn socket_path(name: &str) -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").map(PathBuf::from)?;
    let path_safe = |c: char| if c.is_ascii_alphanumeric() || matches!(c, '-' | '.') { c } else { '_' };
    let name: String = name.chars().map(path_safe).take(MAX_NAME_CHARS).collect();
    let path = directory.join(format!("whinstall-{name}.next"));
    (path.as_os_str().len() <= MAX_PATH_BYTES).then_some(path)
}

/// Connection of a new process to the process that serves at the gatekeeper's address.
pub struct Predecessor {
    stream: UnixStream,
}

/// Requests the listening socket of the process that serves at `address`. `None` if no process serves there, if the
/// serving process does not respond within [`SEND_TIMEOUT`], or if a gatekeeper of the same name serves another
/// address.
pub fn request_listener(path: &Path, address: SocketAddr) -> Option<(Predecessor, std::net::TcpListener)> {
    let stream = std::os::unix::net::UnixStream::connect(path).ok()?;
    match receive_checked(&stream, address) {
        Ok(listener) => Some((Predecessor { stream: UnixStream::from_std(stream).ok()? }, listener)),
        Err(error) => {
            tracing::warn!(
                %error,
                "no listening socket received from the serving process: opening a new one"
            );
            None
        }
    }
}

/// Receives a listening socket and verifies that it is bound to `address`.
fn receive_checked(
    stream: &std::os::unix::net::UnixStream,
    address: SocketAddr,
) -> io::Result<std::net::TcpListener> {
    stream.set_read_timeout(Some(SEND_TIMEOUT))?;
    let listener = receive_listener(stream)?;
    stream.set_nonblocking(true)?;
    listener.set_nonblocking(true)?;
    let local = listener.local_addr()?;
    // Another gatekeeper may have this name by mistake: its clients must not be taken over.
    if local.ip() != address.ip() || ![0, local.port()].contains(&address.port()) {
        return Err(io::Error::other(format!(
            "the received socket is bound to {local} instead of {address}"
        )));
    }
    Ok(listener)
}

fn receive_listener(stream: &std::os::unix::net::UnixStream) -> io::Result<std::net::TcpListener> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    let mut into = [IoSliceMut::new(&mut byte)];
    let received = rustix::net::recvmsg(stream, &mut into, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    let mut descriptors = ancillary.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    match descriptors.next().and_then(|mut d| d.next()).filter(|_| received.bytes == 1) {
        Some(listener) => Ok(std::net::TcpListener::from(listener)),
        None => Err(io::Error::other("the serving process sent no listening socket")),
    }
}

impl Predecessor {
    /// Waits for the handover. `None` if the serving process exits without one, if the length exceeds
    /// [`MAX_HANDOVER_BYTES`], or if the body does not arrive within [`SEND_TIMEOUT`]. A handover that cannot be
    /// decoded counts as empty.
    pub async fn receive_handover(&mut self) -> Option<Handover> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length).await.ok()?;
        let length = u32::from_be_bytes(length) as usize;
        if length > MAX_HANDOVER_BYTES {
            tracing::warn!(
                length,
                limit = MAX_HANDOVER_BYTES,
                "handover rejected: length in bytes exceeds the limit"
            );
            return None;
        }
        let mut body = vec![0; length];
        timeout(SEND_TIMEOUT, self.stream.read_exact(&mut body)).await.ok()?.ok()?;
        match ciborium::from_reader(body.as_slice()) {
            Ok(handover) => Some(handover),
            Err(error) => {
                tracing::warn!(%error, "cannot decode the handover: starting without the old process's state");
                Some(Handover::default())
            }
        }
    }

    /// Confirms to the old process that this one accepts connections, and waits until the old process exits.
    pub async fn confirm(mut self) {
        let _ = self.stream.write_all(b"k").await;
        let _ = self.stream.read(&mut [0]).await;
    }
}

/// Connection to the new process that waits for a handover, if any. Clones share the connection.
#[derive(Clone, Default)]
pub struct Successor(std::rc::Rc<std::cell::RefCell<Option<UnixStream>>>);

impl Successor {
    /// Sends the handover. Returns whether the new process confirmed within [`CONFIRM_TIMEOUT`] that it accepts
    /// connections; without confirmation this process must continue to serve.
    pub async fn hand_over(&self, handover: &Handover) -> bool {
        let Some(mut stream) = self.0.borrow_mut().take() else { return false };
        let mut body = Vec::new();
        if let Err(error) = ciborium::into_writer(handover, &mut body) {
            tracing::warn!(%error, "cannot encode the handover: the new process starts without state");
            body.clear();
        }
        let length = (body.len() as u32).to_be_bytes();
        let confirmation = async {
            stream.write_all(&length).await?;
            stream.write_all(&body).await?;
            let mut byte = [0];
            stream.read_exact(&mut byte).await
        };
        let is_confirmed = timeout(CONFIRM_TIMEOUT, confirmation).await.is_ok_and(|read| read.is_ok());
        if is_confirmed {
            // The connection stays open until this process exits: its end tells the new process that the file
            // descriptors are free.
            *self.0.borrow_mut() = Some(stream);
        }
        is_confirmed
    }

    /// Whether a new process is waiting for the handover. The connection to a process that has exited is dropped.
    pub fn is_waiting(&self) -> bool {
        let mut waiting = self.0.borrow_mut();
        let is_alive = waiting.as_ref().is_some_and(|stream| {
            let read = stream.try_read(&mut [0]);
            read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
        });
        if !is_alive && waiting.take().is_some() {
            tracing::warn!("the new process exited before the handover: this one continues to serve");
        }
        is_alive
    }
}

/// Sends the listening socket to each new process of this gatekeeper that connects, until the program exits. If the
/// Unix socket cannot be bound, a warning is logged and hot restart is not available.
pub async fn serve(path: PathBuf, listener: OwnedFd, successor: Successor) {
    let socket = match bind(&path) {
        Ok(socket) => socket,
        Err(error) => {
            tracing::warn!(%error, path = %path.display(), "hot restart is not available: cannot bind the Unix socket");
            return;
        }
    };
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let same_user = stream.peer_cred().is_ok_and(|c| c.uid() == rustix::process::getuid().as_raw());
        if !same_user || successor.is_waiting() {
            tracing::warn!(
                same_user,
                "hot restart rejected: the process runs as another user, or another process already waits"
            );
            continue;
        }
        match send_listener(&stream, &listener) {
            Ok(()) => {
                tracing::info!("a new process is waiting for the handover");
                *successor.0.borrow_mut() = Some(stream);
            }
            Err(error) => tracing::warn!(%error, "cannot send the listening socket to the new process"),
        }
    }
}

/// Binds under a temporary name and renames atomically, so that `path` leads to the serving process at any time.
fn bind(path: &Path) -> io::Result<UnixListener> {
    let temporary = path.with_extension(format!("{}", std::process::id()));
    let _ = std::fs::remove_file(&temporary);
    let socket = UnixListener::bind(&temporary)?;
    std::fs::rename(&temporary, path)?;
    Ok(socket)
}

fn send_listener(stream: &UnixStream, listener: &OwnedFd) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let descriptors = [listener.as_fd()];
    ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
    rustix::net::sendmsg(stream, &[IoSlice::new(b"l")], &mut ancillary, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// Opens the listening socket for clients. With `reuse_port` (`SO_REUSEPORT`) another process may listen at the same
/// address.
///
/// # Errors
/// Fails if the address is in use or not available.
pub fn listen(address: SocketAddr, reuse_port: bool) -> io::Result<std::net::TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(reuse_port)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
