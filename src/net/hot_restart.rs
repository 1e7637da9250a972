//! Owns the way from one process of a gatekeeper to the next on the same machine: a Unix socket in `$TMPDIR` over
//! which the serving process gives a new one the listening socket at once and, when it is told to end, what it
//! knows. At any time one of the two accepts. It must never decide what that knowledge is worth, and never be the
//! reason that neither serves: whatever fails here, the new process goes on alone.
//!
//! On the socket: the serving process sends one byte with the listening socket beside it; later, once, a length of
//! four bytes and so many bytes of CBOR ([`Handed`]); the new process answers with one byte as it accepts. The end
//! of the connection without that means that the serving process died: the new one takes over with nothing.

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
use whinstall::Legacy;

/// The serving process gives the listening socket within this, or is taken to be beyond help.
const GIVEN_WITHIN: Duration = Duration::from_secs(1);
/// The new process says that it accepts within this, or the old one goes on.
const TAKEN_WITHIN: Duration = Duration::from_millis(500);
/// The most that is handed on, in bytes.
const MOST: usize = 8 << 20;
/// Paths of Unix sockets are no longer than this.
const PATH_MOST: usize = 100;
/// Descriptors kept for this: the socket, the way to the new process and what the new process itself holds until
/// it takes over.
pub const DESCRIPTORS: usize = 28;

/// What the serving process hands on as it is told to end.
#[derive(Serialize, Deserialize, Default)]
#[serde(default)]
pub struct Handed {
    /// What the module knows.
    pub legacy: Legacy,
    /// Is the gatekeeper told to be without clients?
    pub standby: bool,
    /// Descriptors that the old process holds until it ends, at the most.
    pub descriptors: usize,
}

/// Where the processes of the gatekeeper of this name meet.
pub fn place(name: &str) -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").map(PathBuf::from)?;
    let plain = |c: char| if c.is_ascii_alphanumeric() || matches!(c, '-' | '.') { c } else { '_' };
    let name: String = name.chars().map(plain).take(32).collect();
    let path = directory.join(format!("whinstall-{name}.next"));
    (path.as_os_str().len() <= PATH_MOST).then_some(path)
}

/// A process that serves at this gatekeeper's address, as its successor sees it.
pub struct Predecessor {
    stream: UnixStream,
}

/// Asks who serves at this address for the listening socket. `None`: nobody does, nobody who can be heard, or one of
/// the same name who serves elsewhere.
pub fn ask(place: &Path, at: SocketAddr) -> Option<(Predecessor, std::net::TcpListener)> {
    let stream = std::os::unix::net::UnixStream::connect(place).ok()?;
    let given = || -> io::Result<_> {
        stream.set_read_timeout(Some(GIVEN_WITHIN))?;
        let listener = receive(&stream)?;
        stream.set_nonblocking(true)?;
        listener.set_nonblocking(true)?;
        let serves = listener.local_addr()?;
        // Guards the clients of one gatekeeper from another that has its name by mistake.
        if serves.ip() != at.ip() || ![0, serves.port()].contains(&at.port()) {
            return Err(io::Error::other(format!("it serves at {serves}, not at {at}")));
        }
        Ok(listener)
    };
    match given() {
        Ok(listener) => Some((Predecessor { stream: UnixStream::from_std(stream).ok()? }, listener)),
        Err(error) => {
            tracing::warn!(%error, "no listening socket is given: this process listens beside the other");
            None
        }
    }
}

fn receive(stream: &std::os::unix::net::UnixStream) -> io::Result<std::net::TcpListener> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut beside = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    let mut into = [IoSliceMut::new(&mut byte)];
    let got = rustix::net::recvmsg(stream, &mut into, &mut beside, RecvFlags::CMSG_CLOEXEC)?;
    let mut descriptors = beside.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    match descriptors.next().and_then(|mut d| d.next()).filter(|_| got.bytes == 1) {
        Some(listener) => Ok(std::net::TcpListener::from(listener)),
        None => Err(io::Error::other("no listening socket came")),
    }
}

impl Predecessor {
    /// Waits until the serving process hands on, or ends. `None`: it ended, or what came is of no use.
    pub async fn handed(&mut self) -> Option<Handed> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length).await.ok()?;
        let length = u32::from_be_bytes(length) as usize;
        if length > MOST {
            tracing::warn!(length, "what the serving process knows is too much to take over");
            return None;
        }
        let mut body = vec![0; length];
        timeout(GIVEN_WITHIN, self.stream.read_exact(&mut body)).await.ok()?.ok()?;
        match ciborium::from_reader(body.as_slice()) {
            Ok(handed) => Some(handed),
            Err(error) => {
                tracing::warn!(%error, "what the serving process knows cannot be read: starting from nothing");
                Some(Handed::default())
            }
        }
    }

    /// Tells the old process that this one accepts, and waits for its end.
    pub async fn relieve(mut self) {
        let _ = self.stream.write_all(b"k").await;
        let _ = self.stream.read(&mut [0]).await;
    }
}

/// The successor that waits, if any.
#[derive(Clone, Default)]
pub struct Successor(std::rc::Rc<std::cell::RefCell<Option<UnixStream>>>);

impl Successor {
    /// Hands on. Does the successor accept from now on?
    pub async fn hand_on(&self, handed: &Handed) -> bool {
        let Some(mut stream) = self.0.borrow_mut().take() else { return false };
        let mut body = Vec::new();
        if let Err(error) = ciborium::into_writer(handed, &mut body) {
            tracing::warn!(%error, "what this process knows cannot be written");
            body.clear();
        }
        let length = (body.len() as u32).to_be_bytes();
        let said = async {
            stream.write_all(&length).await?;
            stream.write_all(&body).await?;
            let mut byte = [0];
            stream.read_exact(&mut byte).await
        };
        let taken = timeout(TAKEN_WITHIN, said).await.is_ok_and(|said| said.is_ok());
        if taken {
            // Held until this process ends: its end tells the successor that nothing is left here.
            *self.0.borrow_mut() = Some(stream);
        }
        taken
    }

    /// Does one wait? One that died before it could serve does not.
    pub fn waits(&self) -> bool {
        let mut waiting = self.0.borrow_mut();
        let alive = waiting.as_ref().is_some_and(|stream| {
            let read = stream.try_read(&mut [0]);
            read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
        });
        if !alive && waiting.take().is_some() {
            tracing::warn!("the new process ended before it took over: this one goes on");
        }
        alive
    }
}

/// Lets a new process of this gatekeeper have the listening socket, for as long as the program runs.
pub async fn offer(place: PathBuf, listener: OwnedFd, successor: Successor) {
    // Bound beside it and moved there: the place leads to the process that serves at any time.
    let beside = place.with_extension(format!("{}", std::process::id()));
    let _ = std::fs::remove_file(&beside);
    let bound = UnixListener::bind(&beside).and_then(|b| std::fs::rename(&beside, &place).map(|()| b));
    let listens = match bound {
        Ok(listens) => listens,
        Err(error) => {
            tracing::warn!(%error, "no new process can take over from this one");
            return;
        }
    };
    loop {
        let Ok((stream, _)) = listens.accept().await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let same = stream.peer_cred().is_ok_and(|c| c.uid() == rustix::process::getuid().as_raw());
        if !same || successor.waits() {
            tracing::warn!(same_user = same, "a further process asks to take over: turned away");
            continue;
        }
        match give(&stream, &listener) {
            Ok(()) => {
                tracing::info!("a new process waits to take over");
                *successor.0.borrow_mut() = Some(stream);
            }
            Err(error) => tracing::warn!(%error, "the listening socket cannot be given"),
        }
    }
}

fn give(stream: &UnixStream, listener: &OwnedFd) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut beside = SendAncillaryBuffer::new(&mut space);
    let descriptors = [listener.as_fd()];
    beside.push(SendAncillaryMessage::ScmRights(&descriptors));
    rustix::net::sendmsg(stream, &[IoSlice::new(b"l")], &mut beside, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// Listens at the clients' address, beside another process if need be.
pub fn listen(at: SocketAddr, beside: bool) -> io::Result<std::net::TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(at), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(beside)?;
    socket.bind(&at.into())?;
    socket.listen(1024)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
