//! Reads the datagrams that cross the links between controllers, and captures them for replays.
use super::observer::Observations;
use crate::fault::MAX_CAPTURED_DATAGRAMS;
use crate::view::gossip_tap::{GossipTap, TappedGossip};
use railhub_fault_links::ObservedDatagram;
use railhub_membership::packet::{decode, Packet};
use std::sync::{Arc, Mutex};

/// A captured datagram, which can be sent again.
#[derive(Clone)]
pub(super) struct CapturedDatagram {
    /// The link endpoint that sent it.
    pub from: String,
    /// The link endpoint that it was sent to.
    pub to: String,
    pub bytes: Vec<u8>,
}

/// What the tap has read from the links.
#[derive(Default)]
pub(super) struct LinkRecord {
    pub tap: GossipTap,
    pub captured: Vec<CapturedDatagram>,
}

/// Returns the function that the links call for each datagram.
pub(super) fn link_tap(
    installation: String,
    started_at: f64,
    record: Arc<Mutex<LinkRecord>>,
    observations: Observations,
) -> Box<dyn Fn(&ObservedDatagram) + Send + Sync> {
    Box::new(move |datagram| {
        let Ok(Packet::Message(message)) = decode(&installation, datagram.bytes) else { return };
        let mut record = record.lock().expect("no holder panics");
        record.tap.on_datagram(datagram.bytes.len());
        if record.captured.len() < MAX_CAPTURED_DATAGRAMS {
            record.captured.push(CapturedDatagram {
                from: datagram.from.to_owned(),
                to: datagram.to.to_owned(),
                bytes: datagram.bytes.to_vec(),
            });
        }
        let gossip = TappedGossip {
            at: datagram.at - started_at,
            sender: message.sender.id.0,
            receiver: controller_of(datagram.to),
            entries: &message.gossip,
        };
        let deaths = record.tap.on_gossip(&gossip);
        if !deaths.is_empty() {
            observations.lock().expect("no holder panics").extend(deaths);
        }
    })
}

/// The controller of a link endpoint, from the endpoint's name, which begins with the controller's id.
fn controller_of(endpoint: &str) -> Option<u16> {
    endpoint.split(' ').next().and_then(|id| id.parse().ok())
}
