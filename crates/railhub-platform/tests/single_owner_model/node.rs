//! One controller process with its connections to the relay.
use crate::relay::{CallFault, CallInFlight, Subscription};
use crate::world::HOSTS;
use railhub::Phase;
use railhub_platform::{NodeConfig, PlatformController, SubscriptionId};

const CONFIG_JSON: &str = include_str!("../node_config.json");

/// The configuration of a controller on a store that `controllers` share.
pub fn config(controllers: usize) -> NodeConfig {
    let mut file: serde_json::Value = serde_json::from_str(CONFIG_JSON).expect("the file is JSON");
    let settings = &mut file["settings"];
    settings["balancers"] = controllers.into();
    settings["family_info"]["data_plane_size"] = crate::world::PROXIES.into();
    settings["ceilings"]["probes"] = false.into();
    settings["family_info"]["exclusive"] = true.into();
    settings["family_info"]["write_lease_us"] = ((crate::proxies::WRITE_LEASE * 1e6) as u64).into();
    settings["family_info"]["write_life_us"] = ((crate::proxies::MAX_WRITE_DURATION * 1e6) as u64).into();
    let template = file["known"]["instances"][0].clone();
    let instance = |host: usize| {
        let mut instance = template.clone();
        instance["instanceId"] = host_name(host).into();
        instance
    };
    file["known"]["instances"] = (0..HOSTS).map(instance).collect();
    NodeConfig::parse(&file.to_string()).expect("a valid file")
}

/// The name of a host.
pub fn host_name(host: usize) -> String {
    format!("s-{host}")
}

/// A controller process.
pub struct Node {
    config: NodeConfig,
    pub controller: PlatformController,
    pub subscription: Option<Subscription>,
    pub next_subscription_at: f64,
    pub call: Option<CallInFlight>,
    pub next_call_at: f64,
    /// The relay is out of reach, and stays silent.
    pub is_cut_off: bool,
    pub call_fault: Option<CallFault>,
    pub subscriptions: u64,
    pub config_version: u64,
    generation: u64,
    /// Whether each host drains, as the endpoint list of this controller has it.
    draining: [bool; HOSTS],
}

impl Node {
    pub fn new(config: &NodeConfig, now: f64) -> Node {
        Node {
            config: config.clone(),
            controller: PlatformController::new(config),
            subscription: None,
            next_subscription_at: now,
            call: None,
            next_call_at: now,
            is_cut_off: false,
            call_fault: None,
            subscriptions: 0,
            config_version: 0,
            generation: config.known_endpoints.generation,
            draining: [false; HOSTS],
        }
    }

    /// Ends the process and starts another one, which learns the endpoint list anew. A call in flight is lost.
    pub fn restart(&mut self, now: f64) {
        let is_cut_off = self.is_cut_off;
        let draining = self.draining;
        *self = Node { is_cut_off, ..Node::new(&self.config, now) };
        for (host, drains) in draining.into_iter().enumerate().filter(|(_, drains)| *drains) {
            self.list_host(now, host, drains);
        }
    }

    /// The endpoint list reports that a host drains, or is ready.
    pub fn list_host(&mut self, now: f64, host: usize, drains: bool) {
        self.draining[host] = drains;
        self.generation += 1;
        let mut page = self.config.known_endpoints.clone();
        page.generation = self.generation;
        page.complete = false;
        page.entries.retain(|entry| entry.endpoint.host.name() == host_name(host));
        page.entries[0].endpoint.phase = if drains { Phase::Draining } else { Phase::Ready };
        self.controller.on_endpoint_page(now, &page);
    }

    /// Requests a subscription under the present configuration. Returns its id.
    pub fn request_subscription(&mut self) -> SubscriptionId {
        self.subscriptions += 1;
        let id = SubscriptionId { config_version: self.config_version, sequence: self.subscriptions };
        self.controller.on_subscription_requested(id);
        id
    }

    /// The connection of the subscription ends; what was on its way is lost.
    pub fn end_subscription(&mut self, now: f64, retry_at: f64) {
        if let Some(subscription) = self.subscription.take() {
            self.controller.on_subscription_ended(subscription.id);
            self.next_subscription_at = now + retry_at;
        }
    }
}
