//! The emulated endpoint list. It is served over HTTP by long polling and can be late, wrong or unavailable.
//!
//! The list holds the true endpoints, the overrides that a scenario injects, and the published endpoints that result
//! from both. Each change of the published endpoints increments the version. A poller gets the changes since its
//! version, or the complete list if it is too far behind.
mod server;
mod versions;

pub use versions::{ListedEndpoint, DRAINING, GONE, READY};

use may::sync::Mutex;
use railhub_net::{seconds, spawn, Listener};
use railhub_record::Recorder;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use versions::ListState;

/// An endpoint list and its listeners.
pub struct EndpointList {
    /// Address at which controller 0 polls the list.
    pub address: SocketAddr,
    state: Arc<Mutex<ListState>>,
    recorder: Recorder,
    listeners: Mutex<Vec<Listener>>,
}

impl EndpointList {
    /// Opens an empty list with a listener for controller 0.
    ///
    /// # Errors
    /// If the listener cannot be opened.
    pub fn open(recorder: Recorder) -> io::Result<EndpointList> {
        let mut list = EndpointList {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            state: Arc::default(),
            recorder,
            listeners: Mutex::default(),
        };
        list.address = list.listen_for(0)?;
        Ok(list)
    }

    /// Opens a separate listener for one of several controllers, so that the recording shows which controller received
    /// a page.
    ///
    /// # Errors
    /// If the listener cannot be opened.
    ///
    /// # Panics
    /// If a holder of the list panicked.
    pub fn listen_for(&self, controller: u32) -> io::Result<SocketAddr> {
        let (state, recorder) = (self.state.clone(), self.recorder.clone());
        let listener = Listener::open(SocketAddr::from(([127, 0, 0, 1], 0)), move |stream, _| {
            let (state, recorder) = (state.clone(), recorder.clone());
            spawn(move || server::serve(stream, controller, &state, &recorder));
        })?;
        let address = listener.address;
        self.listeners.lock().expect("no holder panics").push(listener);
        Ok(address)
    }

    /// Changes the state and publishes the result.
    fn change(&self, change: impl FnOnce(&mut ListState)) {
        let mut state = self.state.lock().expect("no holder panics");
        change(&mut state);
        state.publish();
    }

    /// Updates endpoints after a delay in seconds; see [`EndpointList::update`].
    ///
    /// # Panics
    /// If a holder of the list panicked.
    pub fn update_after(&self, delay: f64, entries: Vec<ListedEndpoint>) {
        if delay <= 0.0 {
            return self.update(entries);
        }
        let state = self.state.clone();
        spawn(move || {
            may::coroutine::sleep(seconds(delay));
            let mut state = state.lock().expect("no holder panics");
            state.update(entries);
            state.publish();
        });
    }

    /// Adds or replaces endpoints; an endpoint whose phase is [`GONE`] is removed.
    pub fn update(&self, entries: Vec<ListedEndpoint>) {
        self.change(|state| state.update(entries));
    }

    /// Sets the override of the fault with this number, or ends it if `entries` is `None`. The entries of an override
    /// are published in place of the true ones.
    pub fn set_override(&self, fault: u64, entries: Option<Vec<ListedEndpoint>>) {
        self.change(|state| state.set_override(fault, entries));
    }

    /// Makes the list unavailable or available again. An unavailable list closes connections without a response.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.change(|state| state.unavailable = unavailable);
    }

    /// The true endpoints, without overrides.
    ///
    /// # Panics
    /// If a holder of the list panicked.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        self.state.lock().expect("no holder panics").endpoints()
    }
}
