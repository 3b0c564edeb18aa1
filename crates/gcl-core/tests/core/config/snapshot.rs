//! Tests of `gcl_core::config::snapshot`.

use super::world::same_contents;
use crate::fixture::objects;
use gcl_core::{
    config::{
        document::Document,
        object::Object,
        snapshot::{GUARD, Snapshot, store_key},
    },
    store::{Change, Entry},
};

fn put(object: &Object, revision: u64, removed: bool) -> Change {
    let document = Document { removed, ..Document::new(object.clone()) };
    let entry = Entry { key: store_key(object), value: document.encode(), revision, lease: 0 };
    Change::Put(entry)
}

#[test]
fn a_change_at_a_lower_revision_is_not_applied() {
    let object = &objects()[2];
    let mut snapshot = Snapshot::default();
    assert!(snapshot.apply(&put(object, 5, false)));
    assert!(!snapshot.apply(&put(object, 4, true)));
    assert!(!snapshot.apply(&put(object, 5, true)));
    assert!(snapshot.services.contains_key("orders-db"));
}

#[test]
fn a_removed_object_does_not_come_back() {
    let object = &objects()[2];
    let mut snapshot = Snapshot::default();
    assert!(snapshot.apply(&put(object, 5, true)));
    assert!(!snapshot.apply(&put(object, 4, false)));
    assert!(snapshot.services.is_empty());
    assert!(snapshot.apply(&put(object, 6, false)));
    assert!(snapshot.services.contains_key("orders-db"));
}

#[test]
fn an_object_under_another_key_is_ignored() {
    let Change::Put(mut entry) = put(&objects()[2], 5, false) else {
        panic!("the change is not a put")
    };
    entry.key = "gcl/config/service/other".into();
    assert!(!Snapshot::default().apply(&Change::Put(entry)));
}

#[test]
fn a_malformed_document_is_ignored() {
    let entry =
        Entry { key: "gcl/config/service/x".into(), value: "{".into(), revision: 1, lease: 0 };
    assert!(!Snapshot::default().apply(&Change::Put(entry)));
}

#[test]
fn a_diff_produces_the_listing() {
    let all = objects();
    let mut old = Snapshot::default();
    let mut new = Snapshot::default();
    for (revision, object) in (1..).zip(&all) {
        assert!(old.apply(&put(object, revision, false)));
    }
    for (revision, object) in (11..).zip(all.iter().skip(2)) {
        assert!(new.apply(&put(object, revision, revision == 14)));
    }
    let guard = Entry { key: GUARD.into(), value: "".into(), revision: 20, lease: 0 };
    assert!(new.apply(&Change::Put(guard)));
    for change in old.diff(new.entries(), 20) {
        assert!(old.apply(&change), "{change:?}");
    }
    // Objects missing from the listing were deleted by hand, and are kept as removed.
    assert_eq!(old.removed.len(), 3);
    old.removed.retain(|key, _| new.removed.contains_key(key));
    assert!(same_contents(&old, &new));
}

#[test]
fn a_bare_object_is_read_as_a_document() {
    let object = &objects()[0];
    let bare = serde_json::to_vec(object).expect("objects can be written as JSON");
    assert_eq!(Document::decode(&bare), Some(Document::new(object.clone())));
}
