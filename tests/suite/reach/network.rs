//! The network between one entry and the upstreams, which can be cut.

use std::fmt::Debug;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use futures::FutureExt;
use futures::future::BoxFuture;
use hemlockfield::exchange::Connector;

/// How a cut shows at the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Form {
    /// Connections hang, open ones fall silent.
    Hang,
    /// Connections are reset, open ones too.
    Reset,
    /// New connections hang, open ones live on.
    KeepOpen,
    /// What the entry sends arrives, and nothing comes back.
    OneWay,
}

/// A cut, and the upstreams behind it.
#[derive(Clone, Debug)]
struct Cut {
    form: Form,
    upstreams: Vec<SocketAddr>,
}

/// The network between one entry and the upstreams.
#[derive(Clone, Debug, Default)]
pub(super) struct Network(Arc<State>);

#[derive(Debug, Default)]
struct State {
    cut: Mutex<Option<Cut>>,
    opened: AtomicUsize,
    /// Both ends of the open connections, with the upstream's address.
    open: Mutex<Vec<(SocketAddr, TcpStream, TcpStream)>>,
}

impl Network {
    /// Cuts the entry off from these upstreams.
    pub(super) fn cut(&self, form: Form, upstreams: Vec<SocketAddr>) {
        *self.0.cut.lock().unwrap() = Some(Cut { form, upstreams });
        self.reset_open();
    }

    /// Resets the open connections that a cut resets.
    fn reset_open(&self) {
        let open = self.0.open.lock().unwrap();
        for (_, near, far) in open.iter().filter(|it| self.form(it.0) == Some(Form::Reset)) {
            near.shutdown(Shutdown::Both).ok();
            far.shutdown(Shutdown::Both).ok();
        }
    }

    pub(super) fn heal(&self) {
        *self.0.cut.lock().unwrap() = None;
    }

    /// Number of connections that were opened.
    pub(super) fn opened(&self) -> usize {
        self.0.opened.load(Ordering::Relaxed)
    }

    /// Form of the cut between the entry and an upstream.
    fn form(&self, address: SocketAddr) -> Option<Form> {
        let cut = self.0.cut.lock().unwrap();
        cut.as_ref().filter(|cut| cut.upstreams.contains(&address)).map(|cut| cut.form)
    }

    /// Opens a connection through two threads that pass bytes on unless there is a cut.
    fn open(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let far = TcpStream::connect(address)?;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let entry = TcpStream::connect(listener.local_addr()?)?;
        let (near, _) = listener.accept()?;
        self.0.opened.fetch_add(1, Ordering::Relaxed);
        for stream in [&far, &entry, &near] {
            stream.set_nodelay(true)?;
        }
        let kept = (address, near.try_clone()?, far.try_clone()?);
        self.0.open.lock().unwrap().push(kept);
        self.reset_open();
        let (to, back) = ((near.try_clone()?, far.try_clone()?), (far, near));
        let network = self.clone();
        let stops = |form| matches!(form, Form::Hang);
        thread::spawn(move || network.pass(address, to, stops));
        let network = self.clone();
        let stops = |form| matches!(form, Form::Hang | Form::OneWay);
        thread::spawn(move || network.pass(address, back, stops));
        Ok(entry)
    }

    fn pass(
        &self,
        address: SocketAddr,
        (mut from, mut to): (TcpStream, TcpStream),
        stops: impl Fn(Form) -> bool,
    ) {
        let mut bytes = [0; 4096];
        while let Ok(count @ 1..) = from.read(&mut bytes) {
            let is_lost = self.form(address).is_some_and(&stops);
            if !is_lost && to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        to.shutdown(Shutdown::Both).ok();
    }
}

impl Connector for Network {
    fn connect(
        &self,
        address: SocketAddr,
    ) -> BoxFuture<'static, io::Result<async_std::net::TcpStream>> {
        match self.form(address) {
            None => futures::future::ready(self.open(address).map(Into::into)).boxed(),
            Some(Form::Reset) => {
                let error = io::Error::from(io::ErrorKind::ConnectionReset);
                futures::future::ready(Err(error)).boxed()
            }
            Some(_) => futures::future::pending().boxed(),
        }
    }
}
