//! Tests of `gcl_core::token`.

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use gcl_core::{code::Code, mark::Mark, token::Floor};
use proptest::{
    collection::{btree_map, vec},
    prelude::*,
    test_runner::RngSeed,
};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use test_case::test_case;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn with_checksum(body: &[u8]) -> String {
    let sum = Sha256::digest(body);
    URL_SAFE_NO_PAD.encode([body, &sum[..4]].concat())
}

type Marks = BTreeMap<String, (u64, u64)>;

fn marks() -> impl Strategy<Value = Marks> {
    btree_map("[a-z0-9-]{1,63}", (1..=u64::MAX, any::<u64>()), 0..20)
}

fn floor(complete: bool, marks: &Marks) -> Floor {
    let mut floor = if complete { Floor::initial() } else { Floor::default() };
    for (database, (term, position)) in marks {
        floor.raise(&database.into(), Mark::new(*term, *position));
    }
    floor
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_token_decodes_to_the_encoded_floor(complete: bool, marks in marks()) {
        let floor = floor(complete, &marks);
        let read = Floor::decode(&floor.encode()).expect("the token was encoded by a daemon");
        prop_assert_eq!(&read, &floor);
        let json = serde_json::to_string(&floor).expect("a token is text");
        prop_assert_eq!(serde_json::from_str::<Floor>(&json).expect("a valid token"), floor);
    }

    #[test]
    fn a_session_that_roams_never_loses_what_it_saw(
        complete: bool, before in marks(), after in marks(),
    ) {
        let token = floor(complete, &before).encode();
        let mut moved = Floor::default();
        moved.adopt(&Floor::decode(&token).expect("the token was encoded by a daemon"));
        for (database, (term, position)) in &after {
            moved.raise(&database.into(), Mark::new(*term, *position));
        }
        for (database, (term, position)) in before.iter().chain(&after) {
            let known = moved.get(database).expect("the mark was raised before");
            prop_assert!(known >= Mark::new(*term, *position));
        }
        prop_assert_eq!(moved.get("-unseen-"), complete.then(Mark::default));
    }

    #[test]
    fn no_text_makes_the_decoder_panic(text in ".{0,300}") {
        if let Ok(floor) = Floor::decode(&text) {
            prop_assert!(text.is_empty() || floor.encode() == text);
        }
    }

    #[test]
    fn no_bytes_with_a_valid_checksum_make_the_decoder_panic(
        mut body in vec(any::<u8>(), 0..200), valid_header: bool,
    ) {
        if valid_header && body.len() > 3 {
            body[..3].copy_from_slice(&[1, 0, 2]);
        }
        if let Ok(floor) = Floor::decode(&with_checksum(&body)) {
            prop_assert_eq!(floor.encode(), with_checksum(&body));
        }
    }

    #[test]
    fn an_altered_token_is_refused(marks in marks(), at: prop::sample::Index, bit in 0..8_u32) {
        let mut bytes = URL_SAFE_NO_PAD.decode(floor(true, &marks).encode()).expect("base64url");
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let altered = URL_SAFE_NO_PAD.encode(bytes);
        prop_assert_eq!(Floor::decode(&altered).map_err(|fault| fault.code), Err(Code::BadToken));
    }
}

#[test_case(&[2, 0, 0]; "another version")]
#[test_case(&[1, 2, 0]; "another flag")]
#[test_case(&[1, 0, 1]; "a missing entry")]
#[test_case(&[1, 0, 0, 9]; "trailing bytes")]
#[test_case(&[1, 0, 1, 1, b'a', 0, 5]; "a position without a term")]
#[test_case(&[1, 0, 1, 0, 1, 1]; "an empty name")]
#[test_case(&[1, 0, 2, 1, b'a', 1, 1, 1, b'a', 1, 2]; "a duplicate database")]
#[test_case(&[1, 0, 65]; "too many databases")]
#[test_case(&[1, 0, 1, 1, b'a', 0x81, 0, 1]; "a padded number")]
#[test_case(&[1, 0, 1, 1, 0xff, 1, 1]; "a name that is not UTF-8")]
fn an_invalid_token_is_refused(body: &[u8]) {
    let result = Floor::decode(&with_checksum(body)).map_err(|fault| fault.code);
    assert_eq!(result, Err(Code::BadToken));
}

#[test]
fn a_token_that_is_too_long_is_refused() {
    let result = Floor::decode(&"A".repeat(8193)).map_err(|fault| fault.code);
    assert_eq!(result, Err(Code::BadToken));
}

#[test]
fn a_dropped_database_is_unknown_and_the_token_stays_bounded() {
    let mut floor = Floor::initial();
    for index in 0..65 {
        floor.raise(&format!("{index:063}").as_str().into(), Mark::new(u64::MAX, u64::MAX));
    }
    assert_eq!(floor.get(&format!("{:063}", 0)), None);
    let token = floor.encode();
    assert!(token.len() <= gcl_core::token::TEXT_BYTES);
    assert_eq!(Floor::decode(&token), Ok(floor));
}
