use super::*;
use proptest::prelude::*;

fn entry(id: u16, process: u64, count: u64, status: usize) -> Member {
    let status = [Status::Alive, Status::Suspect, Status::Left, Status::Dead][status % 4];
    let metadata = NodeMetadata { settings_digest: process * 100 + count, ..NodeMetadata::default() };
    let entry = Member::alive(NodeId(id), process, metadata);
    Member { incarnation: Incarnation { process, count }, status, ..entry }
}

fn table() -> MemberTable {
    MemberTable::new(Member::alive(NodeId(0), 1, NodeMetadata::default()), None)
}

proptest! {
    #[test]
    fn merge_does_not_depend_on_order_or_repetition(
        entries in prop::collection::vec((1..4u16, 0..3u64, 0..3u64, 0..4usize), 1..30),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let entries: Vec<Member> = entries
            .into_iter()
            .map(|(id, process, count, status)| entry(id, process, count, status))
            .collect();
        let (mut in_order, mut shuffled) = (table(), table());
        entries.iter().for_each(|entry| _ = in_order.merge(entry, false));
        order.iter().for_each(|index| _ = shuffled.merge(&entries[index.index(entries.len())], false));
        entries.iter().rev().for_each(|entry| _ = shuffled.merge(entry, false));
        prop_assert!(in_order.others().eq(shuffled.others()));
        prop_assert_eq!(in_order.digest(), shuffled.digest());
    }

    #[test]
    fn sync_makes_views_equal(
        local_entries in prop::collection::vec((1..9u16, 1..3u64, 0..3u64, 0..1usize), 0..9),
        remote_entries in prop::collection::vec((1..9u16, 1..3u64, 0..3u64, 0..1usize), 0..9),
    ) {
        let mut local = table();
        let mut remote = MemberTable::new(Member::alive(NodeId(9), 1, NodeMetadata::default()), None);
        local_entries.into_iter().for_each(|(id, process, count, status)| {
            _ = local.merge(&entry(id, process, count, status), false);
        });
        remote_entries.into_iter().for_each(|(id, process, count, status)| {
            _ = remote.merge(&entry(id, process, count, status), false);
        });
        for _ in 0..4 {
            let page = local.digest_page(NodeId(0));
            let diff = remote.diff(page.from, page.to, &page.entries);
            diff.newer.iter().for_each(|entry| _ = local.merge(entry, false));
            diff.wanted.iter().for_each(|id| {
                _ = remote.merge(&local.get(*id).cloned().expect("the page lists the member"), false);
            });
        }
        prop_assert_eq!(local.digest(), remote.digest());
    }
}

#[test]
fn tombstoned_process_is_rejected_and_a_newer_one_accepted() {
    let mut table = table();
    table.merge(&entry(1, 5, 0, 3), false);
    table.forget(NodeId(1));
    assert_eq!(table.merge(&entry(1, 5, 7, 0), false), MergeOutcome::Stale);
    assert_eq!(table.correction_for(&entry(1, 5, 7, 0)).status, Status::Forgotten);
    assert!(matches!(table.merge(&entry(1, 6, 0, 0), false), MergeOutcome::Updated { previous: None, .. }));
}

#[test]
fn forgotten_node_adopts_a_higher_process_number() {
    let mut table = table();
    let forgotten = Member { status: Status::Forgotten, ..table.local().clone() };
    assert_eq!(table.merge(&forgotten, false), MergeOutcome::Refuted);
    assert_eq!(table.local().incarnation, Incarnation { process: 2, count: 0 });
}

#[test]
fn full_table_rejects_new_members() {
    let mut table = table();
    (1..=MAX_MEMBERS as u16).for_each(|id| _ = table.merge(&entry(id, 1, 0, 0), false));
    assert_eq!(table.merge(&entry(60_000, 1, 0, 0), false), MergeOutcome::TableFull);
    assert_eq!(table.others().count(), MAX_MEMBERS);
}
