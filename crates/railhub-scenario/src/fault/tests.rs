use super::*;
use crate::scenario::Scenario;
use railhub_ini::Document;

#[test]
fn recorded_notes_keep_the_names_of_the_recorded_format() {
    let isolated = FaultKind::ControllerIsolated {
        controller: 2,
        peers: vec!["store".into(), "list".into()],
        direction: CutDirection::Inbound,
    };
    let phantom = FaultKind::PhantomHosts {
        hosts: 2,
        behaviors: vec![PhantomBehavior::Refuse, PhantomBehavior::Silent],
    };
    let expected = [
        (isolated, r#"StewardCut { steward: 2, from: ["store", "list"], way: In }"#),
        (phantom, "Ghosts { hosts: 2, kinds: [Refuse, Silent] }"),
        (FaultKind::ControllerKilled { controller: 1 }, "StewardKilled { steward: 1 }"),
        (FaultKind::ControllerPartition { side: vec![0, 2] }, "StewardsSplit { side: [0, 2] }"),
        (FaultKind::Slow { hosts: 2, factor: 2.0 }, "Slow { hosts: 2, times: 2.0 }"),
        (FaultKind::StoreUnavailable, "StoreAway"),
    ];
    for (kind, note) in expected {
        assert_eq!(kind.recorded_note(), note);
    }
}

const CLUSTER: &str = "[day]\nlength = 5\n[fleet]\nhosts = 9\nproxies = 2\nslices = 6\nzones = a, b, c\n\
    [load]\nshare = 0.3\n[kind a]\n[class view]\nwork = 0.05\ncontract_time = 0.5\nhard_stop = 1\n";

/// One fault of each form that a file can have, and its description in recordings.
const NOTES: [(&str, &str); 39] = [
    ("kind = crash\npart = 0.1", "Crash { hosts: 1 }"),
    ("kind = deploy\nhosts = 2\nbatch = 1\ndrain = 2", "Deploy { hosts: 2, batch: 1, drain: 2.0 }"),
    ("kind = hang\nhosts = 1", "Hang { hosts: 1 }"),
    ("kind = slow\nhosts = 1\ntimes = 2.5", "Slow { hosts: 1, times: 2.5 }"),
    ("kind = pauses\nhosts = 1\npause = 0.3\nevery = 1", "Pauses { hosts: 1, pause: 0.3, every: 1.0 }"),
    (
        "kind = neighbour\nhosts = 1\ntakes = 0.5\nevery = 0.7",
        "Neighbour { hosts: 1, takes: 0.5, every: 0.7 }",
    ),
    ("kind = answers_lost\nhosts = 1\nshare = 0.25", "AnswersLost { hosts: 1, share: 0.25 }"),
    ("kind = hot_key\nshare = 0.2\nkeys = 3", "HotKey { share: 0.2, keys: 3 }"),
    ("kind = heavy\nshare = 0.1\ntimes = 3", "Heavy { share: 0.1, times: 3.0 }"),
    (
        "kind = give_up\nshare = 0.3\npatience = 0.6\nhow = leave",
        "GiveUp { share: 0.3, patience: 0.6, how: Leave }",
    ),
    ("kind = give_up\nshare = 0.1\npatience = 0.4", "GiveUp { share: 0.1, patience: 0.4, how: Short }"),
    ("kind = shift\nshare = 0.4\nzone = b", "Shift { share: 0.4, how: Zone(1) }"),
    ("kind = shift\nshare = 0.2", "Shift { share: 0.2, how: Mix }"),
    ("kind = growth\ntimes = 1.3\nfollows = 0.5", "Growth { times: 1.3, follows: 0.5 }"),
    ("kind = late_sums\nby = 1.5", "LateSums { by: 1.5 }"),
    ("kind = list_shrinks\nhosts = 2", "ListShrinks { hosts: 2 }"),
    (
        "kind = ghosts\nhosts = 3\nhow = refuse, error, silent",
        "Ghosts { hosts: 3, kinds: [Refuse, Error, Silent] }",
    ),
    ("kind = list_breaks", "ListBreaks"),
    ("kind = store_away", "StoreAway"),
    ("kind = lost_zone\nzone = c", "LostZone { zone: 2, silent: false }"),
    ("kind = lost_zone\nzone = a\nsilent = yes", "LostZone { zone: 0, silent: true }"),
    ("kind = broken_streams\nshare = 0.5", "BrokenStreams { share: 0.5 }"),
    ("kind = slow_channel\ntimes = 4", "SlowChannel { times: 4.0 }"),
    ("kind = steward_killed\nsteward = 0", "StewardKilled { steward: 0 }"),
    ("kind = steward_paused", "StewardPaused { steward: 0 }"),
    (
        "kind = steward_cut\nfrom = store, list, proxies, stewards\nway = out",
        r#"StewardCut { steward: 0, from: ["store", "list", "proxies", "stewards"], way: Out }"#,
    ),
    ("kind = steward_cut\nfrom = store", r#"StewardCut { steward: 0, from: ["store"], way: Both }"#),
    ("kind = steward_cut\nfrom = store\nway = in", r#"StewardCut { steward: 0, from: ["store"], way: In }"#),
    ("kind = steward_way\nfrom = 0\nto = 0", "StewardWay { from: 0, to: 0 }"),
    ("kind = steward_drained", "StewardDrained { steward: 0 }"),
    ("kind = slow_orders\nby = 0.5", "SlowOrders { steward: 0, by: 0.5 }"),
    ("kind = stewards_split\nside = 0", "StewardsSplit { side: [0] }"),
    ("kind = steward_links\nlost = 0.25\ndelay = 1", "StewardLinks { lost: 0.25, delay: 1.0 }"),
    ("kind = store_slow\nby = 2", "StoreSlow { by: 2.0 }"),
    ("kind = store_loses_answers", "StoreLosesAnswers"),
    ("kind = store_forgets\nby = 3", "StoreForgets { by: 3.0 }"),
    (
        "kind = slow_link\nzone = a\nother = b\ndelay = 0.2\nlost = 0.1",
        "DegradedLink { zone: 0, other: Some(1), delay: 0.2, lost: 0.1 }",
    ),
    (
        "kind = slow_link\nzone = a\ndelay = 0.1",
        "DegradedLink { zone: 0, other: None, delay: 0.1, lost: 0.0 }",
    ),
    ("kind = refused_version\nshare = 0.4", "RefusedVersion { share: 0.4 }"),
];

#[test]
fn every_kind_that_a_file_names_has_its_recorded_note() {
    for (keys, note) in NOTES {
        let text = format!("{CLUSTER}[trouble one]\nat = 1\n{keys}\n");
        let document = Document::parse("notes.ini", &text).expect("valid INI text");
        let scenario = Scenario::read(&document).expect(keys);
        assert_eq!(scenario.faults[0].kind.recorded_note(), note);
    }
}
