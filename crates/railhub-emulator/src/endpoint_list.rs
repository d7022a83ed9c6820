//! The endpoint list: served over HTTP by long polling, and able to be late, wrong or unavailable.
//!
//! It has the true endpoints, overrides that a scenario injects, and the published endpoints that result; each change
//! of these raises the version. A poller that is too far behind gets the complete list.
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

/// The endpoint list and its listeners.
pub struct EndpointList {
    /// Where the first controller polls it.
    pub address: SocketAddr,
    state: Arc<Mutex<ListState>>,
    recorder: Recorder,
    listeners: Mutex<Vec<Listener>>,
}

impl EndpointList {
    /// Opens an empty list with a listener for controller 0.
    ///
    /// # Errors
    /// If it cannot listen.
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

    /// Opens a listener for one of several controllers, so that the recording has which of them was answered.
    ///
    /// # Errors
    /// If it cannot listen.
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

    fn change(&self, act: impl FnOnce(&mut ListState)) {
        let mut state = self.state.lock().expect("no holder panics");
        act(&mut state);
        state.publish();
    }

    /// Updates endpoints after a delay in seconds.
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

    /// Updates endpoints; one whose phase is [`GONE`] is removed.
    pub fn update(&self, entries: Vec<ListedEndpoint>) {
        self.change(|state| state.update(entries));
    }

    /// Sets the override of a fault's number: published in place of the true endpoints, until it is set to none.
    pub fn set_override(&self, fault: u64, entries: Option<Vec<ListedEndpoint>>) {
        self.change(|state| state.set_override(fault, entries));
    }

    /// While it is unavailable it closes connections without a response.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.change(|state| state.unavailable = unavailable);
    }

    /// The true endpoints.
    ///
    /// # Panics
    /// If a holder of the list panicked.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        self.state.lock().expect("no holder panics").endpoints()
    }
}
