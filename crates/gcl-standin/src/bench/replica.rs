//! The share of reads that replicas serve, by the accepted age.
//!
//! One caller writes continuously; the readers at each daemon query which server runs their
//! statement.

use super::{caller, objects};
use crate::deployment::{self, Options};
use eyre::{Result, eyre};
use std::time::{Duration, Instant};
use tokio_postgres::{Client, SimpleQueryMessage};

/// Maximum ages accepted by the reads.
const AGES: [&str; 4] = ["0s", "50ms", "500ms", "5s"];
/// Pause between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(2);

/// Measures and prints the table.
///
/// # Errors
/// A request that fails.
pub async fn measure(reads: usize) -> Result<()> {
    let options = Options { objects: objects(), daemons_per_domain: 1, delays: true };
    let deployment = deployment::start(options).await?;
    let caller = caller();
    let create = "create table item (id int, what text)";
    let writer = deployment.wait_until_writable(0, &caller, create).await?;
    let writing = tokio::spawn(write(writer));
    let daemons = deployment.members.len();
    println!("{reads} reads a row at each of {daemons} daemons, while one caller writes");
    for age in AGES {
        for session in ["with a token", "without a token"] {
            let (mut replica, mut total, mut time) = (0, 0, Duration::ZERO);
            for member in 0..deployment.members.len() {
                let reader = deployment.connect(member, &caller).await?;
                if session == "with a token" {
                    reader.batch_execute("set goldcrest.session = ''").await?;
                }
                let primary = deployment.primary("bench-1").ok_or_else(|| eyre!("no primary"))?;
                let since = Instant::now();
                replica += read(&reader, age, reads, primary.name()).await?;
                time += since.elapsed();
                total += reads;
            }
            let share = 100 * replica / total.max(1);
            let each = time / u32::try_from(total.max(1))?;
            println!("max_age {age:<6} {session:<16} {share:>3} % by replicas, {each:.1?} a read");
        }
    }
    writing.abort();
    Ok(())
}

/// Runs reads sequentially and returns how many of them a replica served.
async fn read(reader: &Client, age: &str, reads: usize, primary: &str) -> Result<usize> {
    let sql = format!("/* goldcrest: max_age={age} */ select standin_name()");
    let mut replica = 0;
    for _ in 0..reads {
        let messages = reader.simple_query(&sql).await?;
        let served = messages.iter().any(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0) != Some(primary),
            _ => false,
        });
        replica += usize::from(served);
    }
    Ok(replica)
}

async fn write(writer: Client) -> Result<()> {
    loop {
        writer.batch_execute("insert into item values (1, 'rack')").await?;
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
}
