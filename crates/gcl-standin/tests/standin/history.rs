//! Random histories of a group, checked against a simple model of the acknowledged writes.
//!
//! A write is acknowledged once a majority, including its primary, has reported that it holds the
//! write at its term. Competing promoters fence servers one at a time, lose responses, and promote
//! the most advanced server of a fenced majority. In any order, no acknowledged write may be
//! missing from a later primary, and two logs with the same mark must be equal up to it.

use gcl_core::{id::Term, mark::Mark, server::Role};
use gcl_standin::database::{
    log::Entry,
    node::{Acquisition, Leader, Node},
};
use proptest::{
    collection::vec,
    prelude::{Strategy, any},
    prop_oneof,
    test_runner::{Config, RngSeed, TestCaseError, TestRunner},
};
use std::{
    cell::RefCell,
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
};

const SERVERS: usize = 3;
const PROMOTERS: usize = 2;
/// The id of the writing session on each server.
const WRITER: u64 = 1;

/// A step of a history; numbers identify servers and promoters.
#[derive(Clone, Debug)]
enum Step {
    /// A write begins on a server, if it is primary.
    Begin(usize),
    /// The open write of a server commits.
    Commit(usize),
    /// A replica pulls some entries of the server that it follows; they are in flight then.
    Pull { replica: usize, limit: usize },
    /// The entries in flight to a replica arrive.
    Receive(usize),
    /// A replica applies an entry.
    Apply(usize),
    /// A server's report is received and counted for acknowledgements.
    Report(usize),
    /// A promoter campaigns at a term above those of all servers.
    Campaign(usize),
    /// A promoter fences a server; the response may be lost.
    Fence { promoter: usize, server: usize, lost: bool },
    /// A promoter promotes the most advanced server of its majority.
    Promote(usize),
    /// A server follows the newest primary.
    Follow(usize),
    /// A server restarts with its log.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let server = || 0..SERVERS;
    let promoter = || 0..PROMOTERS;
    prop_oneof![
        12 => server().prop_map(Step::Begin),
        12 => server().prop_map(Step::Commit),
        16 => (server(), 1..3_usize).prop_map(|(replica, limit)| Step::Pull { replica, limit }),
        16 => server().prop_map(Step::Receive),
        3 => server().prop_map(Step::Apply),
        16 => server().prop_map(Step::Report),
        1 => promoter().prop_map(Step::Campaign),
        3 => (promoter(), server(), any::<bool>())
            .prop_map(|(promoter, server, lost)| Step::Fence { promoter, server, lost }),
        2 => promoter().prop_map(Step::Promote),
        8 => server().prop_map(Step::Follow),
        1 => server().prop_map(Step::Restart),
    ]
}

/// A promoter's campaign for a term.
#[derive(Clone, Debug, Default)]
struct Campaign {
    term: Term,
    /// The servers known to be fenced, each with its last received mark.
    fenced: Vec<(usize, Mark)>,
}

/// A write that committed on its primary.
#[derive(Debug)]
struct Write {
    id: i64,
    mark: Mark,
    /// The servers that reported to hold it.
    holders: BTreeSet<usize>,
}

/// A group and the model of its writes.
struct Group {
    nodes: Vec<Node>,
    campaigns: Vec<Campaign>,
    writes: Vec<Write>,
    /// The id of the open write of each server.
    open_writes: Vec<Option<i64>>,
    /// The entries in flight to each server, with the term at which they were pulled.
    in_flight: Vec<Vec<(Term, Entry)>>,
    /// The newest primary.
    primary: Option<(Term, usize)>,
    next: i64,
}

type Check = std::result::Result<(), TestCaseError>;

impl Group {
    fn new() -> Self {
        let node = || Node::new().expect("the database can be opened");
        Self {
            nodes: (0..SERVERS).map(|_| node()).collect(),
            campaigns: vec![Campaign::default(); PROMOTERS],
            writes: Vec::new(),
            open_writes: vec![None; SERVERS],
            in_flight: vec![Vec::new(); SERVERS],
            primary: None,
            next: 1,
        }
    }

    fn step(&mut self, step: &Step) -> Check {
        match *step {
            Step::Begin(server) => self.begin(server),
            Step::Commit(server) => self.commit(server),
            Step::Pull { replica, limit } => self.pull(replica, limit),
            Step::Receive(server) => self.receive(server)?,
            Step::Apply(server) => drop(self.nodes[server].apply_next()),
            Step::Report(server) => self.report(server),
            Step::Campaign(promoter) => {
                let seen = self.nodes.iter().map(|node| node.report().term).max();
                let term = seen.unwrap_or_default() + 1;
                self.campaigns[promoter] = Campaign { term, fenced: Vec::new() };
            }
            Step::Fence { promoter, server, lost } => self.fence(promoter, server, lost),
            Step::Promote(promoter) => self.promote(promoter)?,
            Step::Follow(server) => self.follow(server),
            Step::Restart(server) => {
                self.nodes[server].restart();
                self.open_writes[server] = None;
            }
        }
        self.check_logs()
    }

    fn begin(&mut self, server: usize) {
        let node = &mut self.nodes[server];
        if self.open_writes[server].is_some()
            || node.begin(WRITER, None) != Ok(Acquisition::Granted)
        {
            return;
        }
        let create = "CREATE TABLE IF NOT EXISTS booking (id int8 PRIMARY KEY)";
        let insert = format!("INSERT INTO booking VALUES ({})", self.next);
        for sql in [create, &insert] {
            node.write(WRITER, sql, &[]).expect("the session holds the write connection");
        }
        self.open_writes[server] = Some(self.next);
        self.next += 1;
    }

    fn commit(&mut self, server: usize) {
        let Some(id) = self.open_writes[server].take() else { return };
        if let Ok(mark) = self.nodes[server].commit(WRITER, None) {
            self.writes.push(Write { id, mark, holders: [server].into() });
        }
    }

    fn pull(&mut self, replica: usize, limit: usize) {
        let Some(leader) = self.nodes[replica].leader().cloned() else { return };
        let source: usize = leader.server.parse().expect("servers are named by number");
        if !self.nodes[source].is_primary_at(leader.term) {
            return;
        }
        let spans = self.nodes[source].log().spans();
        let node = &mut self.nodes[replica];
        node.rewind(leader.term, &spans).expect("the log replays");
        let last = node.log().last();
        let entries = self.nodes[source].log().after(last.position, limit).iter().cloned();
        self.in_flight[replica].extend(entries.map(|entry| (leader.term, entry)));
    }

    fn receive(&mut self, server: usize) -> Check {
        for (term, entry) in std::mem::take(&mut self.in_flight[server]) {
            let now = self.nodes[server].report().term;
            let accepted = self.nodes[server].accept(term, entry);
            proptest::prop_assert!(!accepted || term == now, "accepted at {} under {}", term, now);
        }
        Ok(())
    }

    fn report(&mut self, server: usize) {
        let report = self.nodes[server].report();
        for write in &mut self.writes {
            let holds = report.term == write.mark.term
                && report.received.term == write.mark.term
                && report.received.position >= write.mark.position;
            if holds {
                write.holders.insert(server);
            }
        }
    }

    fn fence(&mut self, promoter: usize, server: usize, lost: bool) {
        let campaign = &mut self.campaigns[promoter];
        let node = &mut self.nodes[server];
        if node.fence(campaign.term) {
            self.open_writes[server] = None;
            if !lost {
                campaign.fenced.push((server, node.report().received));
            }
        }
    }

    fn promote(&mut self, promoter: usize) -> Check {
        if !is_majority(self.campaigns[promoter].fenced.len()) {
            return Ok(());
        }
        // One promotion per term: another one needs a higher term, even if the response was lost.
        let Campaign { term, fenced } = std::mem::take(&mut self.campaigns[promoter]);
        let best = fenced.iter().max_by_key(|(_, received)| *received);
        if let Some((best, _)) = best
            && self.nodes[*best].promote(term)
        {
            self.primary = self.primary.max(Some((term, *best)));
            self.check_acknowledged(*best, term)?;
        }
        Ok(())
    }

    fn follow(&mut self, server: usize) {
        let Some((term, primary)) = self.primary else { return };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let leader = Leader { term, server: primary.to_string(), address };
        let before = self.nodes[server].report().term;
        if server != primary && self.nodes[server].follow(leader) && before < term {
            self.open_writes[server] = None;
        }
    }

    fn acknowledged(&self) -> impl Iterator<Item = &Write> {
        self.writes.iter().filter(|write| is_majority(write.holders.len()))
    }

    fn check_acknowledged(&self, server: usize, term: Term) -> Check {
        for write in self.acknowledged().filter(|write| write.mark.term < term) {
            let held = self.nodes[server].log().contains(write.mark);
            proptest::prop_assert!(held, "primary {} of {} lost {:?}", server, term, write);
        }
        Ok(())
    }

    /// Logs that contain the same mark are equal up to it, and each term has at most one primary.
    fn check_logs(&self) -> Check {
        for (index, one) in self.nodes.iter().enumerate() {
            for other in &self.nodes[..index] {
                let (one, other) = (one.log(), other.log());
                let common = one.last().position.min(other.last().position);
                let shared = (1..=common).rev().find(|at| one.mark(*at) == other.mark(*at));
                let limit = usize::try_from(shared.unwrap_or_default()).expect("a short log");
                let same = one.after(0, limit) == other.after(0, limit);
                proptest::prop_assert!(same, "logs with the same mark differ");
            }
        }
        let primaries = self.nodes.iter().map(Node::report);
        let terms = primaries.filter(|report| report.role == Role::Primary);
        let terms: Vec<_> = terms.map(|report| report.term).collect();
        let distinct = terms.iter().collect::<BTreeSet<_>>().len();
        proptest::prop_assert_eq!(distinct, terms.len(), "one term has two primaries");
        Ok(())
    }

    /// Ends all faults: elects a primary, makes the other servers follow it, and compares the data.
    fn settle(&mut self) -> Check {
        self.step(&Step::Campaign(0))?;
        for server in 0..SERVERS {
            self.step(&Step::Fence { promoter: 0, server, lost: false })?;
        }
        self.step(&Step::Promote(0))?;
        let (_, primary) = self.primary.expect("all servers were fenced");
        let mut tables = Vec::new();
        for server in 0..SERVERS {
            self.step(&Step::Follow(server))?;
            self.step(&Step::Pull { replica: server, limit: usize::MAX })?;
            self.step(&Step::Receive(server))?;
            while self.nodes[server].apply_next() {}
            tables.push(self.ids(server));
        }
        for write in self.acknowledged() {
            let count = tables[primary].iter().filter(|id| **id == write.id).count();
            proptest::prop_assert_eq!(count, 1, "{:?}", write);
        }
        let same = tables.iter().all(|table| *table == tables[primary]);
        proptest::prop_assert!(same, "the servers' data differ: {:?}", tables);
        Ok(())
    }

    fn ids(&self, server: usize) -> Vec<i64> {
        let rows = self.nodes[server].read(WRITER, "SELECT id FROM booking ORDER BY id", &[]);
        let id = |row: &Vec<gcl_standin::database::value::Value>| match row.first() {
            Some(gcl_standin::database::value::Value::Integer(id)) => *id,
            _ => 0,
        };
        // The table does not exist if nothing was written.
        rows.map(|rows| rows.rows.iter().map(id).collect()).unwrap_or_default()
    }
}

const fn is_majority(count: usize) -> bool {
    count * 2 > SERVERS
}

#[test]
fn no_acknowledged_write_is_lost() {
    let seed = RngSeed::Fixed(11);
    let config =
        Config { cases: 500, rng_seed: seed, failure_persistence: None, ..Config::default() };
    let (mut acknowledged, mut terms) = (0, 0);
    let mut run = |steps: &[Step]| {
        let mut group = Group::new();
        // Every history starts with a primary.
        for server in 0..SERVERS {
            group.nodes[server].fence(1);
        }
        group.nodes[0].promote(1);
        group.primary = Some((1, 0));
        for step in steps {
            group.step(step)?;
        }
        group.settle()?;
        acknowledged += group.acknowledged().count();
        terms += usize::from(group.primary.is_some_and(|(term, _)| term > 2));
        Ok(())
    };
    let shared = RefCell::new(&mut run);
    let mut runner = TestRunner::new(config);
    runner
        .run(&vec(step(), 0..240), |steps| shared.borrow_mut()(&steps))
        .expect("all histories pass");
    assert!(
        acknowledged > 300 && terms > 200,
        "{acknowledged} acknowledged, {terms} with competing promoters"
    );
}
