//! A stream of numbered bookings while something fails: every acknowledged booking is there exactly
//! once, and none that was refused as "not run" is there at all.

use crate::fleet::Fleet;
use gcl_core::server::Role;
use gcl_standin::{
    database::{Server, fault::Fault},
    deployment::code,
};
use std::collections::BTreeSet;
use test_case::test_case;
use tokio_postgres::{Client, SimpleQueryMessage};

/// Bookings of one stream.
const BOOKINGS: u32 = 400;
/// The booking at which the failure begins.
const FAIL_AT: u32 = 100;
/// The booking at which what can be healed is healed.
const HEAL_AT: u32 = 300;

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// Nothing.
    None,
    /// The primary loses its connections to everyone.
    IsolatePrimary,
    /// The primary stops for good.
    CrashPrimary,
    /// The primary is stopped and goes on later.
    FreezePrimary,
    /// The primary commits and its answers are lost.
    LoseAnswers,
    /// The daemon that is home of the primary is killed.
    KillHome,
    /// The daemon that is home of the primary is stopped and goes on later.
    FreezeHome,
    /// The platform store goes away and the primary crashes.
    StoreAndPrimary,
}

/// What callers were told.
#[derive(Debug, Default)]
struct Told {
    done: BTreeSet<u32>,
    not_run: BTreeSet<u32>,
    unknown: BTreeSet<u32>,
}

/// How bookings are marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mark {
    /// Nothing is said.
    Plain,
    /// They carry an id that makes them idempotent.
    Idempotent,
    /// They are not repeatable.
    NotRepeatable,
}

fn comment(mark: Mark, id: u32) -> String {
    match mark {
        Mark::Plain => String::new(),
        Mark::Idempotent => {
            format!("/* goldcrest: request=00000000-0000-4000-8000-{id:012} */ ")
        }
        Mark::NotRepeatable => "/* goldcrest: repeatable=no */ ".to_owned(),
    }
}

fn primary(fleet: &Fleet) -> &Server {
    let servers = fleet.servers.iter().filter(|server| server.report().role == Role::Primary);
    servers.max_by_key(|server| server.report().term).expect("the group has a primary")
}

fn home(fleet: &Fleet) -> usize {
    // The first server's failure domain has one daemon, so it is the home.
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

async fn book(client: &Client, mark: Mark, id: u32, told: &mut Told) {
    let sql = format!("{}insert into booking values ({id}, 'rack')", comment(mark, id));
    match client.batch_execute(&sql).await {
        Ok(()) => told.done.insert(id),
        Err(error) => match code(&error) {
            Some(number) if number < 200 => told.not_run.insert(id),
            Some(_) => told.unknown.insert(id),
            None => panic!("an error without a result code: {error:?}"),
        },
    };
}

async fn stored(client: &Client) -> Vec<u32> {
    let found = client.simple_query("select id from booking order by id").await;
    let messages = found.expect("the fleet serves reads at the end");
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).and_then(|id| id.parse().ok()),
        _ => None,
    });
    rows.collect()
}

#[test_case(Failure::None, Mark::Plain)]
#[test_case(Failure::IsolatePrimary, Mark::Plain)]
#[test_case(Failure::IsolatePrimary, Mark::Idempotent)]
#[test_case(Failure::CrashPrimary, Mark::Plain)]
#[test_case(Failure::CrashPrimary, Mark::Idempotent)]
#[test_case(Failure::FreezePrimary, Mark::Idempotent)]
#[test_case(Failure::FreezePrimary, Mark::NotRepeatable)]
#[test_case(Failure::LoseAnswers, Mark::Plain)]
#[test_case(Failure::LoseAnswers, Mark::Idempotent)]
#[test_case(Failure::LoseAnswers, Mark::NotRepeatable)]
#[test_case(Failure::KillHome, Mark::Plain)]
#[test_case(Failure::KillHome, Mark::Idempotent)]
#[test_case(Failure::FreezeHome, Mark::NotRepeatable)]
#[test_case(Failure::FreezeHome, Mark::Idempotent)]
#[test_case(Failure::StoreAndPrimary, Mark::Idempotent)]
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_bookings_are_there_exactly_once(failure: Failure, mark: Mark) {
    let mut fleet = Fleet::start(&["alpha", "beta", "beta"]).await;
    fleet.ready();
    let client = fleet.connect(2).await;
    let created = client.batch_execute("create table booking (id int, what text)").await;
    created.expect("the table is created");
    let mut told = Told::default();
    for id in 0..BOOKINGS {
        if id == FAIL_AT {
            fail(&mut fleet, failure);
        }
        if id == HEAL_AT {
            heal(&fleet, failure);
        }
        book(&client, mark, id, &mut told).await;
    }
    let stored = stored(&client).await;
    let distinct: BTreeSet<u32> = stored.iter().copied().collect();
    assert_eq!(stored.len(), distinct.len(), "a booking is there twice");
    let lost: Vec<_> = told.done.difference(&distinct).collect();
    assert!(lost.is_empty(), "acknowledged bookings are lost: {lost:?}");
    let wrong: Vec<_> = told.not_run.intersection(&distinct).collect();
    assert!(wrong.is_empty(), "bookings refused as not run are there: {wrong:?}");
    assert!(told.done.len() > FAIL_AT as usize, "bookings go on after the failure: {told:?}");
    if failure == Failure::None {
        assert_eq!(told.done.len(), BOOKINGS as usize, "{told:?}");
    }
    if mark == Mark::Idempotent {
        assert_eq!(told.unknown, BTreeSet::new(), "an idempotent booking is never left in doubt");
    }
}
