//! A complete deployment in one process: the platform, every database server of a configuration,
//! and daemons in each failure domain, all on free loopback ports.

use crate::{
    database::{self, Lag, Server},
    platform::{self, Platform},
};
use compact_str::{CompactString, format_compact};
use eyre::{Result, WrapErr, eyre};
use gcl_core::{
    code::Code,
    config::{
        file,
        object::{self, Object},
    },
    id,
    settings::{Bounds, Listen, Seed, Settings},
};
use gcl_daemon::daemon;
use std::{net::SocketAddr, path::Path, time::Duration};
use tokio_postgres::{Client, NoTls};

/// Time to open a connection to a server.
const OPEN_DELAY: Duration = Duration::from_millis(10);
/// Lag of a replica in the region of most servers.
const LAG_NEAR: Duration = Duration::from_millis(1);
/// Lag of a replica in another region.
const LAG_FAR: Duration = Duration::from_millis(8);
/// Maximum time until a deployment accepts writes.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between attempts to write.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Options of a deployment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its configuration; the addresses of the servers are replaced.
    pub objects: Vec<Object>,
    /// Daemons in each failure domain.
    pub daemons_per_domain: usize,
    /// Whether replicas lag and connections take time to open.
    pub delays: bool,
}

/// A daemon and its failure domain.
#[derive(Debug)]
pub struct Member {
    /// Its name.
    pub name: id::Daemon,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The daemon.
    pub daemon: daemon::Outcome,
}

/// A running deployment; it stops when dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The platform.
    pub platform: platform::Server,
    /// The database servers, in configuration order.
    pub servers: Vec<Server>,
    /// The daemons, grouped by failure domain.
    pub members: Vec<Member>,
}

/// Reads the objects of an example deployment.
///
/// # Errors
/// The file cannot be read or contains errors.
pub fn read(path: &Path) -> Result<Vec<Object>> {
    let text = std::fs::read_to_string(path);
    let text = text.wrap_err_with(|| format!("cannot read {}", path.display()))?;
    let items = file::parse(&text).map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        eyre!("{}: {}", path.display(), faults.join("; "))
    })?;
    Ok(items.into_iter().map(|item| item.object).collect())
}

/// Starts a deployment. Must be called within an actix system.
///
/// # Errors
/// A component cannot be started.
pub async fn start(options: Options) -> Result<Deployment> {
    let Options { mut objects, daemons_per_domain, delays } = options;
    let servers = start_servers(&mut objects, delays).await?;
    let store = Platform::default();
    for object in &objects {
        platform::load::put(&store, object)?;
    }
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = platform::Server::start(platform::Options { listen, platform: store })?;
    let mut deployment = Deployment { platform, servers, members: Vec::new() };
    for object in &objects {
        if let Object::Domain(domain) = object {
            for number in 1..=daemons_per_domain {
                deployment.start_daemon(domain, number).await?;
            }
        }
    }
    Ok(deployment)
}

async fn start_servers(objects: &mut [Object], delays: bool) -> Result<Vec<Server>> {
    let mut servers = Vec::new();
    for object in objects {
        if let Object::Server(config) = object {
            let server = Server::start(server_options(config, delays)).await?;
            config.address = server.address();
            servers.push(server);
        }
    }
    Ok(servers)
}

fn server_options(config: &object::Server, delays: bool) -> database::Options {
    let mut options = database::Options {
        name: config.name.to_string(),
        connections: config.connections as usize,
        slots: config.slots as usize,
        ..database::Options::default()
    };
    if delays {
        let near = config.name.ends_with("-a") || config.name.ends_with("-b");
        let receive = if near { LAG_NEAR } else { LAG_FAR };
        options.open_delay = OPEN_DELAY;
        options.lag = Lag { receive, apply: LAG_NEAR };
    }
    options
}

impl Deployment {
    async fn start_daemon(&mut self, domain: &object::Domain, number: usize) -> Result<()> {
        let name = format_compact!("{}-{number}", domain.name);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let seeds = self.members.iter().map(|member| Seed {
            daemon: member.name.clone(),
            domain: member.domain.clone(),
            address: format_compact!("{}", member.daemon.peer),
        });
        let settings = Settings {
            daemon: name.clone(),
            domain: domain.name.clone(),
            region: domain.region.clone(),
            listen: Listen { caller: any, peer: any, operator: any },
            advertise: None,
            store: self.platform.url(),
            seeds: seeds.collect(),
            bounds: Bounds::default(),
            caller_tls: None,
            peer_tls: None,
            operator_tls: None,
            plain_caller: true,
            plain_operator: true,
        };
        let seed = self.members.len() as u64 + 1;
        let options = daemon::Options { settings, seed, trace: None, metrics: None };
        let daemon = daemon::start(options).await?;
        self.members.push(Member { name, domain: domain.name.clone(), daemon });
        Ok(())
    }

    /// Connects a caller to the daemon at an index of `members`.
    ///
    /// # Errors
    /// The daemon is unreachable or rejects the login.
    pub async fn connect(&self, member: usize, caller: &Caller) -> Result<Client> {
        connect(self.members[member].daemon.caller, caller).await
    }

    /// Repeats a write until a daemon accepts it, and returns the connection.
    ///
    /// # Errors
    /// The last error, when the write does not succeed in time.
    pub async fn wait_until_writable(
        &self,
        member: usize,
        caller: &Caller,
        sql: &str,
    ) -> Result<Client> {
        let deadline = tokio::time::Instant::now() + START_TIMEOUT;
        loop {
            let result = self.attempt(member, caller, sql).await;
            if result.is_ok() || tokio::time::Instant::now() > deadline {
                return result;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn attempt(&self, member: usize, caller: &Caller, sql: &str) -> Result<Client> {
        let client = self.connect(member, caller).await?;
        client.batch_execute(sql).await?;
        Ok(client)
    }

    /// The primary of a database at the highest term.
    #[must_use]
    pub fn primary(&self, database: &str) -> Option<&Server> {
        let servers = self.servers.iter().filter(|server| server.name().starts_with(database));
        let primaries =
            servers.filter(|server| server.report().role == gcl_core::server::Role::Primary);
        primaries.max_by_key(|server| server.report().term)
    }
}

/// Credentials of a caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The workspace.
    pub workspace: CompactString,
    /// The key, `id.secret`.
    pub key: String,
    /// The database service.
    pub service: CompactString,
}

impl Caller {
    /// The caller of a workspace, with its documented key in the example deployments.
    #[must_use]
    pub fn example(workspace: &str, service: &str) -> Self {
        let key = format!("{workspace}-1.demo-{workspace}");
        Self { workspace: workspace.into(), key, service: service.into() }
    }
}

/// Connects a caller to an address.
///
/// # Errors
/// The connection fails or the login is rejected.
pub async fn connect(address: SocketAddr, caller: &Caller) -> Result<Client> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user(caller.workspace.as_str())
        .password(&caller.key)
        .dbname(caller.service.as_str());
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// The number of the result code in an error message, if it has one.
#[must_use]
pub fn code(error: &tokio_postgres::Error) -> Option<u16> {
    let message = error.as_db_error()?.message();
    let digits = message.strip_prefix('G')?.split(|c: char| !c.is_ascii_digit()).next()?;
    let number: u16 = digits.parse().ok()?;
    Code::ALL.iter().map(|code| code.number()).find(|known| *known == number)
}
