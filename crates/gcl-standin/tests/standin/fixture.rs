//! Stand-in servers and connections to them.

use gcl_standin::database::{Options, Server};
use tokio_postgres::{Client, Config, Error, NoTls, SimpleQueryMessage};

/// Startup options of a control connection.
pub const CONTROL: &str = "-c goldcrest.control=on";

/// Connects with startup options.
pub async fn connect(server: &Server, options: &str) -> Client {
    try_connect(server, options).await.expect("the server accepts connections")
}

/// Tries to connect with startup options.
pub async fn try_connect(server: &Server, options: &str) -> Result<Client, Error> {
    let address = server.address();
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port()).user("caller").options(options);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Calls a control function and returns the columns of the first row.
pub async fn call_control(server: &Server, call: &str) -> Vec<String> {
    let client = connect(server, CONTROL).await;
    let messages = client.simple_query(&format!("SELECT * FROM {call}")).await;
    first_row(&messages.expect("the call succeeds"))
}

/// The columns of the first row as text.
pub fn first_row(messages: &[SimpleQueryMessage]) -> Vec<String> {
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let row = row.expect("a row is returned");
    (0..row.len()).map(|index| row.get(index).unwrap_or("null").to_owned()).collect()
}

/// Starts a group of servers at term one: the first is primary and the others follow it.
pub async fn group(count: usize) -> Vec<Server> {
    let mut servers = Vec::new();
    for index in 0..count {
        let options = Options { name: format!("s{index}"), ..Options::default() };
        servers.push(Server::start(options).await.expect("a port is free"));
    }
    for server in &servers {
        assert_eq!(call_control(server, "goldcrest_fence(1)").await[0], "t");
    }
    assert_eq!(call_control(&servers[0], "goldcrest_promote(1)").await[2], "primary");
    for server in &servers[1..] {
        follow(server, 1, &servers[0]).await;
    }
    servers
}

/// Makes a server follow a primary.
pub async fn follow(server: &Server, term: u64, primary: &Server) {
    let call = format!("goldcrest_follow({term}, 'p', '{}')", primary.address());
    assert_eq!(call_control(server, &call).await[0], "t");
}
