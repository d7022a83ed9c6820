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
        let entries: Vec<Member> = entries.into_iter().map(|(a, p, c, s)| entry(a, p, c, s)).collect();
        let (mut straight, mut mixed) = (table(), table());
        entries.iter().for_each(|entry| _ = straight.merge(entry, false));
        order.iter().for_each(|index| _ = mixed.merge(&entries[index.index(entries.len())], false));
        entries.iter().rev().for_each(|entry| _ = mixed.merge(entry, false));
        prop_assert!(straight.others().eq(mixed.others()));
        prop_assert_eq!(straight.digest(), mixed.digest());
    }

    #[test]
    fn sync_makes_views_equal(
        ours in prop::collection::vec((1..9u16, 1..3u64, 0..3u64, 0..1usize), 0..9),
        theirs in prop::collection::vec((1..9u16, 1..3u64, 0..3u64, 0..1usize), 0..9),
    ) {
        let (mut a, mut b) = (table(), MemberTable::new(Member::alive(NodeId(9), 1, NodeMetadata::default()), None));
        ours.into_iter().for_each(|(id, p, c, s)| _ = a.merge(&entry(id, p, c, s), false));
        theirs.into_iter().for_each(|(id, p, c, s)| _ = b.merge(&entry(id, p, c, s), false));
        for _ in 0..4 {
            let page = a.digest_page(NodeId(0));
            let diff = b.diff(page.from, page.to, &page.entries);
            diff.newer.iter().for_each(|entry| _ = a.merge(entry, false));
            diff.wanted.iter().for_each(|id| _ = b.merge(&a.get(*id).cloned().expect("listed"), false));
        }
        prop_assert_eq!(a.digest(), b.digest());
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
