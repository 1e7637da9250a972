//! A link between two gatekeepers that a test can cut, cut one way, or have break off in the middle of a message.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};

/// What a link does.
#[derive(Clone, Copy, PartialEq)]
#[repr(u8)]
pub enum Does {
    Carry,
    /// Nothing passes either way, and nobody is told.
    Cut,
    /// What is said passes, what is answered does not.
    CutBack,
    /// Connections break after some bytes of an answer.
    Break,
}

pub struct Link {
    pub address: SocketAddr,
    does: Arc<AtomicU8>,
    to: Arc<Mutex<Option<SocketAddr>>>,
}

impl Link {
    pub fn start() -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (does, to) = (Arc::new(AtomicU8::new(Does::Carry as u8)), Arc::new(Mutex::new(None)));
        let link = Link { address, does: Arc::clone(&does), to: Arc::clone(&to) };
        std::thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let to: Option<SocketAddr> = *to.lock().expect("whole");
                let Some(far) = to.and_then(|to| TcpStream::connect(to).ok()) else { continue };
                let handles = (near.try_clone(), far.try_clone());
                if let (Ok(near_too), Ok(far_too)) = handles {
                    let (there, back) = (Arc::clone(&does), Arc::clone(&does));
                    std::thread::spawn(move || carry(near, far, &there, true));
                    std::thread::spawn(move || carry(far_too, near_too, &back, false));
                }
            }
        });
        link
    }

    /// It leads there from now on.
    pub fn leads_to(&self, to: SocketAddr) {
        *self.to.lock().expect("whole") = Some(to);
    }

    pub fn set(&self, does: Does) {
        self.does.store(does as u8, Ordering::SeqCst);
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, does: &AtomicU8, there: bool) {
    let mut bytes = [0; 4096];
    while let Ok(count) = from.read(&mut bytes) {
        let does = does.load(Ordering::SeqCst);
        let lost = does == Does::Cut as u8 || does == Does::CutBack as u8 && !there;
        let breaks = does == Does::Break as u8 && !there;
        let sent = if breaks { count.min(40) } else { count };
        if count == 0 || !lost && to.write_all(&bytes[..sent]).is_err() || breaks {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
