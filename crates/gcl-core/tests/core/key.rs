//! Tests of `gcl_core::key`.

use crate::fixture::{at, configured};
use gcl_core::{caller::Credential, code::Code, config::object::Object, key, state::State};
use std::time::Duration;
use test_case::test_case;

fn with_keys() -> State {
    let mut state = configured("d1");
    let object = |name: &str, workspace: &str, withdrawn: bool| {
        let text = format!(
            r#"{{"kind":"key","name":"{name}","workspace":"{workspace}","hash":"{}",
            "withdrawn":{withdrawn}}}"#,
            key::hash("hush")
        );
        serde_json::from_str::<Object>(&text).expect("the key has the right fields")
    };
    state.config.snapshot.put(50, object("good", "altyn", false));
    state.config.snapshot.put(51, object("gone", "altyn", true));
    state.config.snapshot.put(52, object("other", "dala", false));
    state
}

#[test_case("altyn", "good.hush", None)]
#[test_case("altyn", "good.hush ", Some(Code::WrongKey))]
#[test_case("altyn", "good", Some(Code::WrongKey))]
#[test_case("altyn", "", Some(Code::WrongKey))]
#[test_case("altyn", ".hush", Some(Code::WrongKey))]
#[test_case("altyn", "unknown.hush", Some(Code::WrongKey))]
#[test_case("altyn", "other.hush", Some(Code::WrongKey); "a key of another workspace")]
#[test_case("altyn", "gone.hush", Some(Code::KeyWithdrawn))]
#[test_case("altyn", "gone.wrong", Some(Code::WrongKey); "a withdrawn key with a wrong secret")]
#[test_case("nobody", "good.hush", Some(Code::UnknownWorkspace))]
fn authenticates(workspace: &str, secret: &str, code: Option<Code>) {
    let state = with_keys();
    let credential = Credential::new(secret);
    let result = key::authenticate(&state.config.snapshot, workspace, &credential);
    assert_eq!(result.err().map(|fault| fault.code), code);
}

#[test_case(None, 0, 0, false; "never confirmed")]
#[test_case(Some(0), 5000, 0, true; "at the bound")]
#[test_case(Some(0), 5001, 0, false; "beyond the bound")]
#[test_case(Some(0), 5001, 1000, true; "within the workspace's extension")]
#[test_case(Some(0), 6001, 1000, false; "beyond the workspace's extension")]
fn trusts_keys_only_while_the_configuration_is_fresh(
    confirmed: Option<u64>,
    now: u64,
    offline_ms: u64,
    expected: bool,
) {
    let mut state = configured("d1");
    state.config.confirmed = confirmed.map(Duration::from_millis);
    let workspace = state
        .config
        .snapshot
        .workspaces
        .get_mut("altyn")
        .expect("the fixture defines the workspace");
    workspace.value.offline_ms = offline_ms;
    let result = key::check_freshness(&state, at(now), "altyn");
    assert_eq!(result.is_ok(), expected);
    let code = result.err().map(|fault| fault.code);
    assert_eq!(code, (!expected).then_some(Code::StaleConfiguration));
}
