//! What entries learn from hosts: the configuration, where servers are, and who the hosts are.
//!
//! An entry asks a host of its own failure domain every [`PERIOD`] and says what it knows, so that
//! only what has changed travels, and within the failure domain. A host that does not answer is
//! passed over for the next. The store is asked for nothing but the list of hosts, and only by an
//! entry that hears none.

use crate::{
    config::Config,
    drain,
    effect::Effects,
    home::{self, Site},
    lease,
    line::Line,
    link::{self, Ask, Call, Tell},
    role::{self, Role},
    state::{Member, State as Daemon},
    timer, watch,
};
use compact_str::CompactString;
use gcl_core::{id, rendezvous, time::Now};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

/// Mean time between questions.
const PERIOD: Duration = Duration::from_millis(700);
/// The same until the first answer.
const START_PERIOD: Duration = Duration::from_millis(200);
/// Time between two questions of a host for a newer configuration.
const FETCH: Duration = Duration::from_millis(500);
/// Time without an answer after which the host is passed over.
const OVERDUE: Duration = Duration::from_millis(1100);
/// Age of the last answer up to which an entry serves callers.
const FRESH: Duration = Duration::from_millis(3500);
/// Time without an answer from any host after which an entry makes itself one.
const ALONE: Duration = Duration::from_secs(3);

/// A host, as entries know it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: id::Daemon,
    /// Where it hears other daemons, `ip:port`.
    pub address: CompactString,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Its life.
    pub incarnation: id::Incarnation,
    /// What its VM can carry, in thousandths of a core.
    pub millicores: u32,
    /// Whether it takes statements.
    pub serves: bool,
}

/// What an entry knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The version of the configuration.
    pub config: u64,
    /// A hash of the sites.
    pub sites: u64,
    /// A hash of the hosts.
    pub hosts: u64,
}

/// What an entry does not know yet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// The configuration, if it is newer.
    pub config: Option<Arc<Config>>,
    /// Where databases' servers are, if that differs.
    pub sites: Option<Vec<Site>>,
    /// The hosts, if they differ.
    pub hosts: Option<Vec<Host>>,
}

/// What an entry has learnt.
#[derive(Clone, Debug, Default)]
pub struct State {
    known: Known,
    sites: IndexMap<id::Database, Site>,
    serving: IndexSet<id::Daemon>,
    /// When a host last asked another for the configuration.
    fetched: Duration,
    asked: Option<(id::Daemon, Duration)>,
    heard: Option<Duration>,
    since: Duration,
}

impl State {
    /// Where a database's servers are.
    #[must_use]
    pub fn site(&self, database: &id::Database) -> Site {
        let known = self.sites.get(database).cloned();
        known.unwrap_or_else(|| Site { database: database.clone(), ..Site::default() })
    }

    /// Whether a host takes statements.
    #[must_use]
    pub fn serves(&self, host: &str) -> bool {
        self.serving.contains(host)
    }

    /// Whether the last answer is recent, and a host serves.
    #[must_use]
    pub fn is_fresh(&self, now: Now) -> bool {
        self.heard.is_some_and(|at| now.since(at) < FRESH) && !self.serving.is_empty()
    }
}

fn fingerprint(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Begins to ask.
pub fn start(daemon: &mut Daemon, now: Now) {
    daemon.news.since = now.mono;
    daemon.timers.arm(timer::Key::News, now.mono);
}

/// Asks the next host.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if daemon.role.current != Role::Entry {
        return;
    }
    let period = if daemon.news.heard.is_some() { PERIOD } else { START_PERIOD };
    let period = daemon.random.jitter(period);
    daemon.timers.arm(timer::Key::News, now.mono + period);
    if let Some((host, at)) = daemon.news.asked.clone() {
        if now.since(at) < OVERDUE {
            return;
        }
        daemon.news.asked = None;
        link::suspect(daemon, now, fx, &host, "it tells no news");
    }
    let silent = now.since(daemon.news.heard.unwrap_or(daemon.news.since));
    if silent >= ALONE && daemon.drain == drain::State::Serving {
        role::on_alone(daemon, fx, silent);
    }
    if let Some(host) = source(daemon) {
        daemon.news.asked = Some((host.clone(), now.mono));
        let known = daemon.news.known;
        link::ask(daemon, fx, &host, Ask::News(known));
    }
}

/// Asks the next host at once when the one that was asked does not answer.
pub fn on_suspect(daemon: &mut Daemon, now: Now, host: &id::Daemon) {
    if daemon.news.asked.take_if(|(asked, _)| asked == host).is_some() {
        daemon.timers.arm(timer::Key::News, now.mono);
    }
}

/// The host to ask: one of the own failure domain where one can be asked, else the nearest.
fn source(daemon: &Daemon) -> Option<id::Daemon> {
    let own = &daemon.settings.daemon;
    let usable = daemon.members.iter().filter(|(name, _)| daemon.link.is_usable(name));
    let best = usable.min_by_key(|(name, member)| {
        (daemon.settings.distance(&member.record.domain), rendezvous::weight(own, name))
    });
    best.map(|(name, _)| name.clone())
}

/// Answers an entry.
pub fn on_asked(daemon: &mut Daemon, now: Now, fx: &mut Effects, link: link::Id, known: Known) {
    role::on_entry(daemon, now, fx);
    let config = daemon.config.as_ref().filter(|config| config.version > known.config);
    let sites: Vec<_> = daemon.groups.keys().map(|database| home::site(daemon, database)).collect();
    let hosts = daemon.members.iter().map(|(name, member)| Host {
        name: name.clone(),
        address: member.record.address.clone(),
        domain: member.record.domain.clone(),
        incarnation: member.record.incarnation,
        millicores: member.record.millicores,
        serves: role::serves(daemon, now, name),
    });
    let hosts: Vec<_> = hosts.collect();
    let news = News {
        config: config.cloned(),
        sites: (fingerprint(&sites) != known.sites).then_some(sites),
        hosts: (fingerprint(&hosts) != known.hosts && !hosts.is_empty()).then_some(hosts),
    };
    fx.link(Call::Tell(link, Tell::News(Box::new(news))));
}

/// Takes note that another host has a version of the configuration in force. One that the store
/// turns away gets it from there.
pub fn on_version(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    host: &id::Daemon,
    version: u64,
) {
    let own = daemon.config.as_ref().map_or(0, |config| config.version);
    if version > own && now.since(daemon.news.fetched) >= FETCH {
        daemon.news.fetched = now.mono;
        link::ask(daemon, fx, host, Ask::Config(own));
    }
}

/// Answers a host that has an older version of the configuration.
pub fn on_config_asked(daemon: &Daemon, fx: &mut Effects, link: link::Id, version: u64) {
    let config = daemon.config.as_ref().filter(|config| config.version > version).cloned();
    let news = News { config, ..News::default() };
    fx.link(Call::Tell(link, Tell::News(Box::new(news))));
}

/// Takes what a host tells.
pub fn on_news(daemon: &mut Daemon, now: Now, fx: &mut Effects, news: News) {
    daemon.news.asked = None;
    if daemon.role.current != Role::Entry {
        if let Some(config) = news.config {
            watch::on_config(daemon, now, fx, config);
        }
        return;
    }
    daemon.news.heard = Some(now.mono);
    role::on_company(daemon);
    if let Some(sites) = news.sites {
        daemon.news.known.sites = fingerprint(&sites);
        daemon.news.sites = sites.into_iter().map(|it| (it.database.clone(), it)).collect();
    }
    if let Some(config) = news.config {
        watch::on_config(daemon, now, fx, config);
        daemon.news.known.config = daemon.config.as_ref().map_or(0, |config| config.version);
    }
    if let Some(hosts) = news.hosts {
        on_hosts(daemon, now, fx, hosts);
    }
}

fn on_hosts(daemon: &mut Daemon, now: Now, fx: &mut Effects, hosts: Vec<Host>) {
    daemon.news.known.hosts = fingerprint(&hosts);
    let serving = hosts.iter().filter(|host| host.serves).map(|host| host.name.clone());
    daemon.news.serving = serving.collect();
    let members = hosts.into_iter().map(|host| {
        let record = lease::Record {
            incarnation: host.incarnation,
            address: host.address,
            domain: host.domain,
            millicores: host.millicores,
            acknowledged: IndexMap::new(),
        };
        (host.name, Member { record, lease: 0, revision: 0 })
    });
    daemon.members = members.collect();
    let line = Line::belief("hosts known").with("hosts", daemon.members.len());
    fx.log(line.with("serving", daemon.news.serving.len()));
    role::on_members(daemon, now, fx, false);
}
