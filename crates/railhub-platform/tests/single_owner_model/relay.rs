//! The relay's side of one controller: its subscriptions and calls, as bytes and events with their times.
use railhub::{BarrierId, HostId, SliceId};
use railhub_platform::{Call, CallResponse, RelayEvent, SubscriptionId};
use serde_json::Value;
use std::collections::VecDeque;

/// What becomes of the next call.
#[derive(Clone, Copy, Debug)]
pub enum CallFault {
    /// It is not carried out, and there is no response.
    CallLost,
    /// It is carried out, and there is no response.
    AnswerLost,
    /// The relay does not admit it yet.
    Rejected,
    /// The relay cannot read it.
    Malformed,
    /// The relay stops at its first order.
    OrderRefused,
}

/// One order of a call.
#[derive(Clone, Copy, Debug)]
pub enum Order {
    SetOwner { slice: usize, host: HostId },
    RemoveHost { slice: usize, host: HostId },
    Barrier(BarrierId),
    Other,
}

/// Decodes the orders of a call.
pub fn orders(call: &Call) -> Vec<Order> {
    let message: Value = serde_json::from_slice(&call.bytes).expect("a call is JSON");
    let orders = message["params"]["orders"].as_array().expect("a call has orders");
    orders.iter().map(decode_order).collect()
}

fn decode_order(order: &Value) -> Order {
    match order["op"].as_str().expect("an order has an operation") {
        "share" => {
            let host = HostId::new(order["server"].as_str().expect("a host")).expect("a valid name");
            let slice = order["table"].as_u64().expect("a slice") as usize;
            let removes = order["weight"].as_f64().expect("a weight") == 0.0;
            if removes {
                Order::RemoveHost { slice, host }
            } else {
                Order::SetOwner { slice, host }
            }
        }
        "mark" => Order::Barrier(BarrierId(order["ticket"].as_u64().expect("a barrier") as u16)),
        _ => Order::Other,
    }
}

/// The stage of a subscription.
#[derive(Debug)]
pub enum SubscriptionStage {
    /// Waits until the relay reads the request.
    Requested { confirmed_at: f64 },
    /// Its events are forwarded.
    Open,
    /// It stands, but forwards nothing.
    Silent { ends_at: f64 },
}

/// One subscription, with the events on their way to the controller.
#[derive(Debug)]
pub struct Subscription {
    pub id: SubscriptionId,
    pub stage: SubscriptionStage,
    pub events: VecDeque<(f64, RelayEvent)>,
}

impl Subscription {
    /// Sends an event, unless the subscription is not open.
    pub fn send(&mut self, arrives_at: f64, event: RelayEvent) {
        if matches!(self.stage, SubscriptionStage::Open) {
            let last = self.events.back().map_or(0.0, |(at, _)| *at);
            self.events.push_back((arrives_at.max(last), event));
        }
    }

    /// Sends the assignment of a slice, and its table.
    pub fn send_table(&mut self, arrives_at: f64, slice: usize, owner: Option<HostId>) {
        let slice = SliceId(slice as u16);
        self.send(arrives_at, RelayEvent::SliceAssigned { slice, assigned: true });
        if let Some(host) = owner {
            let line = railhub::WeightedHost { host, weight: 1.0 };
            self.send(arrives_at, RelayEvent::StoredEntry { slice, line });
        }
    }

    /// The events that have arrived.
    pub fn take_arrived(&mut self, now: f64) -> Vec<RelayEvent> {
        let count = self.events.iter().take_while(|(at, _)| *at <= now).count();
        self.events.drain(..count).map(|(_, event)| event).collect()
    }
}

/// A call on its way.
#[derive(Debug)]
pub struct CallInFlight {
    pub orders: Vec<Order>,
    /// When it is carried out, if it is still to be.
    pub executes_at: Option<f64>,
    /// When the controller learns the response, or that there is none.
    pub ends_at: f64,
    pub response: Option<CallResponse>,
}
