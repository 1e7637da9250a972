//! Hot restart: hands the listening socket and the decision module's state from the serving process to a new one on
//! the same machine, over a Unix socket in `$TMPDIR`.
//!
//! At any time exactly one of the two accepts. Whatever fails here, the new process goes on alone; the handover is
//! never a reason that neither serves.
//!
//! Protocol: the serving process sends one byte with the listening socket attached (`SCM_RIGHTS`). Later, when it is
//! told to terminate, it sends once a big-endian length of four bytes and that many bytes of CBOR ([`Handover`]),
//! and the new process answers with one byte as it accepts. If the connection ends without that, the serving process
//! died and the new one starts without state.

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

/// Time for the serving process to send the listening socket, and the body of a handover.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for the new process to confirm that it accepts; after it the old one continues.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest handover, in bytes.
const MAX_HANDOVER_BYTES: usize = 8 << 20;
/// The longest path of a Unix socket, in bytes.
const MAX_PATH_BYTES: usize = 100;
/// The longest part of a gatekeeper's name that is used in the path, in characters.
const MAX_NAME_CHARS: usize = 32;
/// Backlog of the clients' listening socket.
const LISTEN_BACKLOG: i32 = 1024;
/// Pause after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);
/// Descriptors reserved for hot restart: the socket, the connection to the new process, and what the new process
/// itself holds until it takes over.
pub const RESERVED_DESCRIPTORS: usize = 28;

/// What the serving process hands over when it is told to terminate. Its serialized form is read by newer and older
/// versions of the program.
#[derive(Serialize, Deserialize, Default)]
#[serde(default)]
pub struct Handover {
    /// The decision module's state.
    #[serde(rename = "legacy")]
    pub state: ExportedState,
    /// Whether the gatekeeper is on standby.
    #[serde(rename = "standby")]
    pub is_standby: bool,
    /// Descriptors that the old process holds until it exits, at the most.
    pub descriptors: usize,
}

/// Path of the socket on which the processes of the gatekeeper of this name meet. `None` without `$TMPDIR`, or if
/// the path would be too long.
pub fn socket_path(name: &str) -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").map(PathBuf::from)?;
    let plain = |c: char| if c.is_ascii_alphanumeric() || matches!(c, '-' | '.') { c } else { '_' };
    let name: String = name.chars().map(plain).take(MAX_NAME_CHARS).collect();
    let path = directory.join(format!("whinstall-{name}.next"));
    (path.as_os_str().len() <= MAX_PATH_BYTES).then_some(path)
}

/// The process that serves at this gatekeeper's address, as seen by its successor.
pub struct Predecessor {
    stream: UnixStream,
}

/// Requests the listening socket of the process that serves at this address. `None`: nobody serves, the serving
/// process does not respond, or one of the same name serves elsewhere.
pub fn request_listener(path: &Path, address: SocketAddr) -> Option<(Predecessor, std::net::TcpListener)> {
    let stream = std::os::unix::net::UnixStream::connect(path).ok()?;
    match receive_checked(&stream, address) {
        Ok(listener) => Some((Predecessor { stream: UnixStream::from_std(stream).ok()? }, listener)),
        Err(error) => {
            tracing::warn!(%error, "no listening socket received: listening alongside the serving process");
            None
        }
    }
}

/// Receives a listening socket that is bound to this address.
fn receive_checked(
    stream: &std::os::unix::net::UnixStream,
    address: SocketAddr,
) -> io::Result<std::net::TcpListener> {
    stream.set_read_timeout(Some(SEND_TIMEOUT))?;
    let listener = receive_listener(stream)?;
    stream.set_nonblocking(true)?;
    listener.set_nonblocking(true)?;
    let serves = listener.local_addr()?;
    // Protects the clients of a gatekeeper from another one that has its name by mistake.
    if serves.ip() != address.ip() || ![0, serves.port()].contains(&address.port()) {
        return Err(io::Error::other(format!("it serves at {serves}, not at {address}")));
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
        None => Err(io::Error::other("no listening socket came")),
    }
}

impl Predecessor {
    /// Waits for the handover. `None`: the serving process exited without one, or it is unusably long. One that
    /// cannot be decoded counts as empty.
    pub async fn receive_handover(&mut self) -> Option<Handover> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length).await.ok()?;
        let length = u32::from_be_bytes(length) as usize;
        if length > MAX_HANDOVER_BYTES {
            tracing::warn!(length, "handover rejected: too long");
            return None;
        }
        let mut body = vec![0; length];
        timeout(SEND_TIMEOUT, self.stream.read_exact(&mut body)).await.ok()?.ok()?;
        match ciborium::from_reader(body.as_slice()) {
            Ok(handover) => Some(handover),
            Err(error) => {
                tracing::warn!(%error, "handover cannot be decoded: starting without state");
                Some(Handover::default())
            }
        }
    }

    /// Confirms to the old process that this one accepts, and waits for the old one's exit.
    pub async fn confirm(mut self) {
        let _ = self.stream.write_all(b"k").await;
        let _ = self.stream.read(&mut [0]).await;
    }
}

/// The new process that waits for a handover, if any; clones share it.
#[derive(Clone, Default)]
pub struct Successor(std::rc::Rc<std::cell::RefCell<Option<UnixStream>>>);

impl Successor {
    /// Hands over, and returns whether the successor confirmed that it accepts. Without confirmation this process
    /// must go on.
    pub async fn hand_over(&self, handover: &Handover) -> bool {
        let Some(mut stream) = self.0.borrow_mut().take() else { return false };
        let mut body = Vec::new();
        if let Err(error) = ciborium::into_writer(handover, &mut body) {
            tracing::warn!(%error, "handover cannot be encoded");
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
            // Kept open until this process exits: the end of the connection tells the successor that it did.
            *self.0.borrow_mut() = Some(stream);
        }
        is_confirmed
    }

    /// Whether a successor is waiting. One that exited meanwhile is forgotten.
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

/// Offers the listening socket to a new process of this gatekeeper, for as long as the program runs. If the Unix
/// socket cannot be bound, this is logged and no hot restart is possible.
pub async fn serve(path: PathBuf, listener: OwnedFd, successor: Successor) {
    let socket = match bind(&path) {
        Ok(socket) => socket,
        Err(error) => {
            tracing::warn!(%error, "hot restart is not available: cannot bind its socket");
            return;
        }
    };
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let same_user = stream.peer_cred().is_ok_and(|c| c.uid() == rustix::process::getuid().as_raw());
        if !same_user || successor.is_waiting() {
            tracing::warn!(same_user, "hot restart rejected: another user, or another process already waits");
            continue;
        }
        match send_listener(&stream, &listener) {
            Ok(()) => {
                tracing::info!("a new process is waiting for the handover");
                *successor.0.borrow_mut() = Some(stream);
            }
            Err(error) => tracing::warn!(%error, "cannot send the listening socket"),
        }
    }
}

/// Binds under a temporary name and renames, so that the path always leads to the process that serves.
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

/// Opens the clients' listening socket; with `reuse_port` another process may listen at the address too.
///
/// # Errors
/// The address is in use or not available.
pub fn listen(address: SocketAddr, reuse_port: bool) -> io::Result<std::net::TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(reuse_port)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
