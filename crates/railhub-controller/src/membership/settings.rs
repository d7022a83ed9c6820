//! The `[fleet]` section of a controller's configuration file.
use crate::lease_clock::LeaseClock;
use railhub_ini::{Diagnostic, Document, Section};
use railhub_membership::packet::MAX_INSTALLATION_BYTES;
use railhub_membership::safeguard::Safeguard;
use railhub_membership::NodeId;
use railhub_net::now;
use std::net::SocketAddr;

/// Largest number of addresses in the key `join`.
const MAX_SEEDS: usize = 16;
/// Safeguards that a test may disable, by their names in the file.
const SAFEGUARDS: [(&str, Option<Safeguard>); 9] = [
    ("nothing", None),
    ("refutation", Some(Safeguard::Refutation)),
    ("asking the dead", Some(Safeguard::DeadProbing)),
    ("process", Some(Safeguard::ProcessOrder)),
    ("anti-entropy", Some(Safeguard::AntiEntropy)),
    ("rumour bound", Some(Safeguard::GossipLimit)),
    ("own trouble", Some(Safeguard::LocalHealth)),
    ("additions", Some(Safeguard::Extensions)),
    ("lease end", Some(Safeguard::LeaseExpiry)),
];

/// How this controller takes part in the membership.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// This controller's id.
    pub id: NodeId,
    /// Name of the installation. Datagrams of other installations are dropped.
    pub installation: String,
    /// The address to bind the socket to.
    pub listen: SocketAddr,
    /// The address at which other controllers reach this one, if it differs from the bound address.
    pub advertise: Option<SocketAddr>,
    /// Addresses of controllers through which this one joins the membership.
    pub join: Vec<SocketAddr>,
    /// Seconds after which a controller that is dead or has left is forgotten.
    pub forget_after: f64,
    /// Whether controllers share the slices, by leases from the store.
    pub share: bool,
    /// Seconds that a lease is granted for.
    pub lease_duration: f64,
    /// The process number, if it is not to be derived from the clock: for tests of clocks that were set back.
    pub process: Option<u64>,
    /// The clock for leases. Tests make it run fast or slow, or jump, as the clocks of machines do.
    pub clock: LeaseClock,
    /// A safeguard that is disabled: only for tests of the invariant checker.
    pub disabled_safeguard: Option<Safeguard>,
    /// Digest of the file without the keys that may differ between controllers.
    pub settings_digest: u64,
}

impl MembershipSettings {
    /// Reads the `[fleet]` section, if there is one.
    ///
    /// # Errors
    /// A key is missing, unknown or has an invalid value; the error names its line.
    pub fn read(document: &Document) -> Result<Option<MembershipSettings>, Diagnostic> {
        let fleet = document.section("fleet");
        if !fleet.exists() {
            return Ok(None);
        }
        let settings = MembershipSettings {
            installation: read_installation(&fleet)?,
            join: read_seeds(&fleet)?,
            id: NodeId(fleet.required_in_range("id", 0.0, f64::from(u16::MAX - 1))? as u16),
            listen: fleet.value_or("listen", SocketAddr::from(([127, 0, 0, 1], 0)))?,
            advertise: fleet.text("advertise").map(|_| fleet.required("advertise")).transpose()?,
            forget_after: fleet.in_range("forget_after", 600.0, 1.0, 1e6)?,
            share: fleet.flag("share", false)?,
            lease_duration: fleet.in_range("lease", 3.0, 0.5, 60.0)?,
            clock: read_clock(&fleet)?,
            process: fleet.text("process").map(|_| fleet.required("process")).transpose()?,
            disabled_safeguard: fleet.choice("without", "nothing", &SAFEGUARDS)?,
            settings_digest: document.digest(may_differ_between_controllers),
        };
        fleet.reject_unread_keys()?;
        Ok(Some(settings))
    }

    /// Whether this controller ignores the expiry of its leases: only for tests of the invariant checker.
    pub fn ignores_lease_expiry(&self) -> bool {
        self.disabled_safeguard == Some(Safeguard::LeaseExpiry)
    }
}

fn read_installation(fleet: &Section) -> Result<String, Diagnostic> {
    let installation: String = fleet.required("installation")?;
    if installation.is_empty() || installation.len() > MAX_INSTALLATION_BYTES {
        let length = installation.len();
        let message = format!("needs 1 to {MAX_INSTALLATION_BYTES} bytes, not {length}");
        return Err(fleet.diagnostic("installation", message));
    }
    Ok(installation)
}

fn read_seeds(fleet: &Section) -> Result<Vec<SocketAddr>, Diagnostic> {
    let mut seeds = Vec::new();
    for text in fleet.list("join") {
        let seed = text.parse();
        seeds.push(
            seed.map_err(|_| fleet.diagnostic("join", format!("cannot be '{text}': addresses are needed")))?,
        );
    }
    if seeds.len() > MAX_SEEDS {
        let message = format!("has {} addresses, at most {MAX_SEEDS} are allowed", seeds.len());
        return Err(fleet.diagnostic("join", message));
    }
    Ok(seeds)
}

fn read_clock(fleet: &Section) -> Result<LeaseClock, Diagnostic> {
    Ok(LeaseClock {
        speed: fleet.in_range("clock_speed", 1.0, 0.5, 2.0)?,
        jumps_after: fleet.in_range("clock_jumps_after", 0.0, 0.0, 1e6)?,
        jumps_by: fleet.in_range("clock_jumps_by", 0.0, -1e4, 1e4)?,
        started_at: now(),
    })
}

/// Whether a key may have different values for the controllers of one installation.
fn may_differ_between_controllers(section: &str, key: &str) -> bool {
    section == "fleet" && !matches!(key, "installation" | "share" | "lease")
        || section == "steward" && matches!(key, "listen" | "traffic")
}
