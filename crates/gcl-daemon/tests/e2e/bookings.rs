//! A sequence of numbered bookings during a failure: every acknowledged booking is stored exactly
//! once, and no booking rejected as "not run" is stored.

use crate::fleet::Fleet;
use gcl_core::server::Role;
use gcl_standin::{
    database::{Server, fault::Fault},
    deployment::code,
};
use std::collections::BTreeSet;
use test_case::test_case;
use tokio_postgres::{Client, SimpleQueryMessage};

/// Number of bookings in a test.
const BOOKINGS: u32 = 400;
/// Number of the booking before which the failure is injected.
const FAIL_AT: u32 = 100;
/// Number of the booking before which the failure is repaired, if it can be.
const HEAL_AT: u32 = 300;

/// The injected failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// No failure.
    None,
    /// The primary is cut off from the network.
    IsolatePrimary,
    /// The primary crashes and does not restart.
    CrashPrimary,
    /// The primary is suspended and later resumed.
    FreezePrimary,
    /// The primary commits, but its answers are lost.
    LoseAnswers,
    /// The daemon to which the primary's statements are routed (its home) is killed.
    KillHome,
    /// The primary's home is suspended and later resumed.
    FreezeHome,
    /// The platform store becomes unavailable and the primary crashes.
    StoreAndPrimary,
}

/// Bookings by the outcome reported to the caller.
#[derive(Debug, Default)]
struct Outcomes {
    done: BTreeSet<u32>,
    not_run: BTreeSet<u32>,
    unknown: BTreeSet<u32>,
}

/// The options that bookings carry in a comment of the statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Annotation {
    /// No options.
    Plain,
    /// A request id, which makes the booking idempotent.
    Idempotent,
    /// The booking must not be repeated.
    NotRepeatable,
}

fn comment(annotation: Annotation, id: u32) -> String {
    match annotation {
        Annotation::Plain => String::new(),
        Annotation::Idempotent => {
            format!("/* goldcrest: request=00000000-0000-4000-8000-{id:012} */ ")
        }
        Annotation::NotRepeatable => "/* goldcrest: repeatable=no */ ".to_owned(),
    }
}

fn primary(fleet: &Fleet) -> &Server {
    let servers = fleet.servers.iter().filter(|server| server.report().role == Role::Primary);
    servers.max_by_key(|server| server.report().term).expect("the group has a primary")
}

fn home(fleet: &Fleet) -> usize {
    // The first server's failure domain has only one daemon, which is its home.
    usize::from(primary(fleet).name() != "orders-1-a")
}

fn fail(fleet: &mut Fleet, failure: Failure) {
    match failure {
        Failure::None => {}
        Failure::IsolatePrimary => primary(fleet).inject(Fault::IsolateAll),
        Failure::CrashPrimary => primary(fleet).inject(Fault::Crash),
        Failure::FreezePrimary => primary(fleet).inject(Fault::Freeze),
        Failure::LoseAnswers => primary(fleet).inject(Fault::LoseCommits(5)),
        Failure::KillHome => {
            let home = home(fleet);
            fleet.daemons[home].signal("-KILL");
        }
        Failure::FreezeHome => {
            let home = home(fleet);
            fleet.daemons[home].signal("-STOP");
        }
        Failure::StoreAndPrimary => {
            fleet.outage(true);
            primary(fleet).inject(Fault::Crash);
        }
    }
}

fn heal(fleet: &Fleet, failure: Failure) {
    match failure {
        Failure::IsolatePrimary | Failure::FreezePrimary => {
            fleet.servers.iter().for_each(Server::heal);
        }
        Failure::FreezeHome => {
            for daemon in &fleet.daemons {
                daemon.signal("-CONT");
            }
        }
        Failure::StoreAndPrimary => fleet.outage(false),
        _ => {}
    }
}

async fn book(client: &Client, annotation: Annotation, id: u32, outcomes: &mut Outcomes) {
    let sql = format!("{}insert into booking values ({id}, 'rack')", comment(annotation, id));
    match client.batch_execute(&sql).await {
        Ok(()) => outcomes.done.insert(id),
        Err(error) => match code(&error) {
            Some(number) if number < 200 => outcomes.not_run.insert(id),
            Some(_) => outcomes.unknown.insert(id),
            None => panic!("an error without a result code: {error:?}"),
        },
    };
}

async fn stored(client: &Client) -> Vec<u32> {
    let found = client.simple_query("select id from booking order by id").await;
    let messages = found.expect("reads succeed after the failure");
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).and_then(|id| id.parse().ok()),
        _ => None,
    });
    rows.collect()
}

#[test_case(Failure::None, Annotation::Plain)]
#[test_case(Failure::IsolatePrimary, Annotation::Plain)]
#[test_case(Failure::IsolatePrimary, Annotation::Idempotent)]
#[test_case(Failure::CrashPrimary, Annotation::Plain)]
#[test_case(Failure::CrashPrimary, Annotation::Idempotent)]
#[test_case(Failure::FreezePrimary, Annotation::Idempotent)]
#[test_case(Failure::FreezePrimary, Annotation::NotRepeatable)]
#[test_case(Failure::LoseAnswers, Annotation::Plain)]
#[test_case(Failure::LoseAnswers, Annotation::Idempotent)]
#[test_case(Failure::LoseAnswers, Annotation::NotRepeatable)]
#[test_case(Failure::KillHome, Annotation::Plain)]
#[test_case(Failure::KillHome, Annotation::Idempotent)]
#[test_case(Failure::FreezeHome, Annotation::NotRepeatable)]
#[test_case(Failure::FreezeHome, Annotation::Idempotent)]
#[test_case(Failure::StoreAndPrimary, Annotation::Idempotent)]
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_bookings_are_stored_exactly_once(failure: Failure, annotation: Annotation) {
    let mut fleet = Fleet::start(&["alpha", "beta", "beta"]).await;
    fleet.ready();
    let client = fleet.connect(2).await;
    let created = client.batch_execute("create table booking (id int, what text)").await;
    created.expect("the table is created");
    let mut outcomes = Outcomes::default();
    for id in 0..BOOKINGS {
        if id == FAIL_AT {
            fail(&mut fleet, failure);
        }
        if id == HEAL_AT {
            heal(&fleet, failure);
        }
        book(&client, annotation, id, &mut outcomes).await;
    }
    let stored = stored(&client).await;
    let distinct: BTreeSet<u32> = stored.iter().copied().collect();
    assert_eq!(stored.len(), distinct.len(), "a booking is stored twice");
    let lost: Vec<_> = outcomes.done.difference(&distinct).collect();
    assert!(lost.is_empty(), "acknowledged bookings are lost: {lost:?}");
    let wrong: Vec<_> = outcomes.not_run.intersection(&distinct).collect();
    assert!(wrong.is_empty(), "bookings rejected as not run are stored: {wrong:?}");
    assert!(
        outcomes.done.len() > FAIL_AT as usize,
        "no booking succeeds after the failure: {outcomes:?}"
    );
    if failure == Failure::None {
        assert_eq!(outcomes.done.len(), BOOKINGS as usize, "{outcomes:?}");
    }
    if annotation == Annotation::Idempotent {
        assert_eq!(
            outcomes.unknown,
            BTreeSet::new(),
            "the outcome of an idempotent booking is unknown"
        );
    }
}
