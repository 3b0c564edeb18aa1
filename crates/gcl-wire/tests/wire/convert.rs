//! Round trips of all messages, and decoding of arbitrary bytes without a panic.

use gcl_core::{
    batch::{Batch, Frame, Prepared, Status, Step, Target},
    code::{Code, Fault},
    mark::Mark,
    peer::Message,
    request,
    run::{Access, Answer, Leader, Outcome, Run, Scope},
};
use gcl_wire::{decode, encode, generated::Envelope};
use proptest::{
    collection::vec,
    option,
    prelude::*,
    test_runner::{Config, RngSeed},
};
use prost::Message as _;
use std::time::Duration;

fn config() -> Config {
    let rng_seed = RngSeed::Fixed(11);
    Config { rng_seed, failure_persistence: None, cases: 256, ..Config::default() }
}

fn mark() -> impl Strategy<Value = Mark> {
    (any::<u64>(), any::<u64>()).prop_map(|(term, position)| Mark::new(term, position))
}

fn millis() -> impl Strategy<Value = Duration> {
    (0_u64..1 << 40).prop_map(Duration::from_millis)
}

fn access() -> impl Strategy<Value = Access> {
    prop_oneof![
        Just(Access::Write),
        Just(Access::Strong),
        (option::of(mark()), millis(), millis())
            .prop_map(|(floor, max_age, wait)| Access::Replica { floor, max_age, wait }),
    ]
}

fn scope() -> impl Strategy<Value = Scope> {
    prop_oneof![Just(Scope::Single), Just(Scope::Begin), any::<u128>().prop_map(Scope::Within),]
}

fn step() -> impl Strategy<Value = Step> {
    let bytes = option::of(vec(any::<u8>(), 0..9).prop_map(Into::into));
    prop_oneof![
        Just(Step::Parse(0)),
        ("[a-z]{0,4}", vec(any::<i16>(), 0..3), vec(bytes, 0..3), vec(any::<i16>(), 0..3))
            .prop_map(|(portal, formats, parameters, results)| Step::Bind {
                portal: portal.into(),
                statement: 1,
                formats,
                parameters,
                results,
            }),
        Just(Step::Describe(Target::Statement(1))),
        "[a-z]{0,4}".prop_map(|name| Step::Describe(Target::Portal(name.into()))),
        ("[a-z]{0,4}", any::<i32>())
            .prop_map(|(portal, max_rows)| Step::Execute { portal: portal.into(), max_rows }),
        "[a-z]{0,4}".prop_map(|name| Step::ClosePortal(name.into())),
        Just(Step::CloseStatement),
    ]
}

fn batch() -> impl Strategy<Value = Batch> {
    let prepared = |sql: &str| Prepared { sql: sql.to_owned(), types: vec![20, 0] };
    prop_oneof![
        ".{0,20}".prop_map(Batch::Simple),
        vec(step(), 0..6).prop_map(move |steps| Batch::Extended {
            statements: vec![prepared("select 1"), prepared("select $1")],
            steps,
        }),
    ]
}

prop_compose! {
    fn run()(
        request in any::<u128>(),
        attempt in any::<u32>(),
        access in access(),
        scope in scope(),
        batch in batch(),
        idempotency in option::of(any::<u128>()),
        flags in any::<(bool, bool)>(),
        budget in millis(),
    ) -> Run {
        Run {
            request,
            attempt,
            workspace: "altyn".into(),
            database: "orders-1".into(),
            server: "orders-1-a".into(),
            revision: 9,
            access,
            scope,
            ends: flags.0,
            variables: vec![("timezone".into(), "UTC".into())],
            batch,
            idempotency,
            repeatable: flags.1,
            budget,
        }
    }
}

fn outcome() -> impl Strategy<Value = Outcome> {
    let frame = (any::<u8>(), vec(any::<u8>(), 0..9))
        .prop_map(|(tag, body)| Frame { tag, body: body.into() });
    let fault = || {
        (0..Code::ALL.len(), option::of(millis())).prop_map(|(index, retry_after)| Fault {
            code: Code::ALL[index],
            detail: "why".into(),
            retry_after,
        })
    };
    prop_oneof![
        (vec(frame, 0..4), option::of(mark())).prop_map(|(frames, mark)| Outcome::Done {
            frames,
            status: Status::Failed,
            mark,
        }),
        fault().prop_map(Outcome::NotRun),
        fault().prop_map(Outcome::Unknown),
    ]
}

fn round_trip(message: Message) -> Message {
    let envelope = encode(&"d1".into(), 42, message).expect("the message is valid");
    let bytes = envelope.encode_to_vec();
    let envelope = Envelope::decode(bytes.as_slice()).expect("the bytes were just encoded");
    let (from, incarnation, message) = decode(envelope).expect("the message is valid");
    assert_eq!((from.as_str(), incarnation), ("d1", 42));
    message
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn runs_round_trip(run in run()) {
        let message = Message::Run(Box::new(run));
        prop_assert_eq!(round_trip(message.clone()), message);
    }

    #[test]
    fn answers_round_trip(request in any::<u128>(), outcome in outcome()) {
        let leader = Some(Leader { term: 3, server: "s1".into() });
        let answer = Answer { request, attempt: 2, server: "s1".into(), outcome, leader };
        let message = Message::Answer(Box::new(answer));
        prop_assert_eq!(round_trip(message.clone()), message);
    }

    #[test]
    fn control_messages_round_trip(request in any::<u128>()) {
        let message = Message::Request(request::Message::Cancel(request));
        prop_assert_eq!(round_trip(message.clone()), message);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in vec(any::<u8>(), 0..200)) {
        if let Ok(envelope) = Envelope::decode(bytes.as_slice()) {
            let _ = decode(envelope);
        }
    }
}

#[test]
fn a_statement_index_out_of_range_is_rejected() {
    let steps = vec![Step::Parse(3)];
    let batch = Batch::Extended { statements: Vec::new(), steps };
    let run = Run {
        request: 1,
        attempt: 1,
        workspace: "w".into(),
        database: "d".into(),
        server: "s".into(),
        revision: 1,
        access: Access::Write,
        scope: Scope::Single,
        ends: false,
        variables: Vec::new(),
        batch,
        idempotency: None,
        repeatable: false,
        budget: Duration::ZERO,
    };
    let message = Message::Run(Box::new(run));
    let envelope = encode(&"d1".into(), 1, message).expect("the index is not checked here");
    assert!(matches!(decode(envelope), Err(gcl_wire::Error::Invalid("statement index"))));
}
