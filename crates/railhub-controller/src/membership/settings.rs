//! The `[fleet]` section of a controller's file.
use crate::lease_clock::LeaseClock;
use railhub_ini::{Diagnostic, Document, Section};
use railhub_membership::packet::MAX_INSTALLATION_BYTES;
use railhub_membership::safeguard::Safeguard;
use railhub_membership::NodeId;
use railhub_net::now;
use std::net::SocketAddr;

/// Addresses to join by.
const MAX_SEEDS: usize = 16;
/// Safeguards that a test may leave out, by their names in the file.
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
    /// This controller's number.
    pub id: NodeId,
    /// Datagrams of other installations are dropped.
    pub installation: String,
    /// Where the socket is bound.
    pub listen: SocketAddr,
    /// Where the others reach this controller, if that is not where its socket is bound.
    pub advertise: Option<SocketAddr>,
    /// Addresses of controllers to join by.
    pub join: Vec<SocketAddr>,
    /// Seconds after which a controller that is dead or has left is forgotten.
    pub forget_after: f64,
    /// Whether the slices are shared: leased from the store.
    pub share: bool,
    /// Seconds that a lease is granted for.
    pub lease: f64,
    /// The number of the process, where the clock should not give it: for tests of clocks that were set back.
    pub process: Option<u64>,
    /// The clock that leases go by, for tests: machines' clocks run apart and jump.
    pub clock: LeaseClock,
    /// A safeguard that is left out: for tests of the invariant checker alone.
    pub without: Option<Safeguard>,
    /// Digest of the file, less what each controller has of its own.
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
            lease: fleet.in_range("lease", 3.0, 0.5, 60.0)?,
            clock: read_clock(&fleet)?,
            process: fleet.text("process").map(|_| fleet.required("process")).transpose()?,
            without: fleet.choice("without", "nothing", &SAFEGUARDS)?,
            settings_digest: document.digest(is_own_key),
        };
        fleet.reject_unread_keys()?;
        Ok(Some(settings))
    }

    /// Whether leases never end: for tests of the invariant checker alone.
    pub fn ignores_lease_expiry(&self) -> bool {
        self.without == Some(Safeguard::LeaseExpiry)
    }
}

fn read_installation(fleet: &Section) -> Result<String, Diagnostic> {
    let installation: String = fleet.required("installation")?;
    if installation.is_empty() || installation.len() > MAX_INSTALLATION_BYTES {
        return Err(fleet.diagnostic("installation", format!("needs 1 to {MAX_INSTALLATION_BYTES} bytes")));
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
        return Err(
            fleet.diagnostic("join", format!("has {} addresses, {MAX_SEEDS} at the most", seeds.len()))
        );
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

/// Whether controllers of one installation may differ in a key.
fn is_own_key(section: &str, key: &str) -> bool {
    section == "fleet" && !matches!(key, "installation" | "share" | "lease")
        || section == "steward" && matches!(key, "listen" | "traffic")
}
