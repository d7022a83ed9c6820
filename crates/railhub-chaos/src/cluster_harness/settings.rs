//! The settings file of a controller that the harness starts.
use railhub_membership::safeguard::Safeguard;
use std::net::SocketAddr;

/// The settings that the harness chooses for a controller.
pub(super) struct ControllerSettings<'a> {
    pub controller: u16,
    pub installation: &'a str,
    /// The address to which other controllers send.
    pub public_address: SocketAddr,
    /// Addresses of members through which the controller joins the cluster.
    pub seeds: Vec<SocketAddr>,
    /// The process number; `None`: the controller takes it from its clock.
    pub process: Option<u64>,
    /// Seconds after which a member that is gone is forgotten; 0 for the default of the program.
    pub forget_after: f64,
    /// The safeguard that is disabled.
    pub disabled_safeguard: Option<Safeguard>,
}

impl ControllerSettings<'_> {
    /// The content of the settings file, in INI format.
    pub fn to_ini(&self) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let mut text = format!(
            "[steward]\nlisten = 127.0.0.1:0\nroster = 127.0.0.1:1\n\n[class any]\ncontract_time = 1\n\n\
             [fleet]\nid = {}\ninstallation = {}\nadvertise = {}\njoin = {}\n",
            self.controller,
            self.installation,
            self.public_address,
            seeds.join(", "),
        );
        if let Some(process) = self.process {
            text += &format!("process = {process}\n");
        }
        if self.forget_after > 0.0 {
            text += &format!("forget_after = {}\n", self.forget_after);
        }
        text + self.disabled_safeguard.map_or("", disabled_safeguard_line)
    }
}

fn disabled_safeguard_line(safeguard: Safeguard) -> &'static str {
    match safeguard {
        Safeguard::Refutation => "without = refutation\n",
        Safeguard::DeadProbing => "without = asking the dead\n",
        Safeguard::ProcessOrder => "without = process\n",
        Safeguard::AntiEntropy => "without = anti-entropy\n",
        Safeguard::GossipLimit => "without = rumour bound\n",
        Safeguard::LocalHealth => "without = own trouble\n",
        Safeguard::Extensions => "without = additions\n",
        Safeguard::LeaseExpiry => "without = lease end\n",
    }
}
