//! The `demo` command: one deployment in one process, and one booking.
//!
//! The booking is written through one entry (a daemon that forwards statements) and read from a
//! replica through another. Then the primary crashes and another server is promoted. Sending the
//! same booking again does not duplicate it.

use crate::{
    database::fault::Fault,
    deployment::{self, Caller, Deployment, Options},
};
use eyre::{Result, WrapErr, ensure, eyre};
use std::{path::PathBuf, time::Instant};
use tokio_postgres::{Client, SimpleQueryMessage};

/// The available examples, each with its service and the workspace that books.
const EXAMPLES: [(&str, &str, &str); 2] =
    [("kazyna", "orders-db", "kazyna"), ("basu", "hire-ledger", "howrah-counter")];
/// Request id of the booking that is sent twice.
const BOOKING: &str = "5f0c1de2-3a4b-4c5d-8e6f-708192a3b4c5";

/// Runs the command with the arguments after its name.
///
/// # Errors
/// Bad arguments, or a step that fails.
pub fn run(arguments: &[String]) -> Result<()> {
    let name = arguments.first().map_or("kazyna", String::as_str);
    let example = EXAMPLES.iter().find(|(example, ..)| *example == name);
    let (_, service, workspace) =
        example.ok_or_else(|| eyre!("no such example: {name}; try kazyna or basu"))?;
    let path: PathBuf = ["examples", name, "objects.jsonc"].iter().collect();
    let objects =
        deployment::read(&path).wrap_err("the demo must be run from the project's root")?;
    let system = actix_rt::System::with_tokio_rt(gcl_daemon::log::runtime);
    system.block_on(run_steps(objects, &Caller::example(workspace, service)))
}

async fn run_steps(objects: Vec<gcl_core::config::object::Object>, caller: &Caller) -> Result<()> {
    let options = Options { objects, daemons_per_domain: 1, delays: true };
    let deployment = deployment::start(options).await?;
    println!(
        "started a platform store, {} database servers and {} daemons",
        deployment.servers.len(),
        deployment.members.len()
    );
    let create = "create table booking (id int primary key, what text)";
    let writer = deployment.wait_until_writable(0, caller, create).await?;
    println!("{} takes writes of workspace {}", deployment.members[0].name, caller.workspace);
    write(&writer).await?;
    let token = query_one(&writer, "show goldcrest.session").await?;
    read(&deployment, caller, &token).await?;
    fail_over(&deployment, caller, &writer).await?;
    repeat(&deployment, caller).await?;
    println!("done: the booking was made once, and all steps succeeded");
    Ok(())
}

async fn write(writer: &Client) -> Result<()> {
    writer.batch_execute(&booking()).await?;
    println!("wrote booking 1; a majority of its database group holds it");
    Ok(())
}

fn booking() -> String {
    format!(
        "/* goldcrest: request={BOOKING} */ insert into booking values (1, 'rack for 80 pairs')"
    )
}

async fn read(deployment: &Deployment, caller: &Caller, token: &str) -> Result<()> {
    let last = deployment.members.len() - 1;
    let reader = deployment.connect(last, caller).await?;
    reader.batch_execute(&format!("set goldcrest.session = '{token}'")).await?;
    let aged = "/* goldcrest: max_age=5s */ ";
    let what = query_one(&reader, &format!("{aged}select what from booking where id = 1")).await?;
    let server = query_one(&reader, &format!("{aged}select standin_name()")).await?;
    let entry = &deployment.members[last].name;
    println!("read booking 1 through {entry}: '{what}'; such reads are served by {server}");
    ensure!(what == "rack for 80 pairs", "the read does not return the booking");
    Ok(())
}

async fn fail_over(deployment: &Deployment, caller: &Caller, writer: &Client) -> Result<()> {
    let strong = query_one(writer, "select standin_name()").await?;
    let server = deployment.servers.iter().find(|server| server.name() == strong);
    let primary = server.ok_or_else(|| eyre!("{strong} is not a server of the deployment"))?;
    primary.inject(Fault::Crash);
    println!("crashed the primary, {strong}");
    let since = Instant::now();
    let other = deployment.connect(1, caller).await?;
    other.batch_execute("insert into booking values (2, 'rack for 40 pairs')").await?;
    let gap = since.elapsed();
    let successor = query_one(&other, "select standin_name()").await?;
    println!("wrote booking 2 after {} ms; the primary is {successor}", gap.as_millis());
    ensure!(successor != strong, "the crashed server still answers as primary");
    Ok(())
}

async fn repeat(deployment: &Deployment, caller: &Caller) -> Result<()> {
    let client = deployment.connect(0, caller).await?;
    client.batch_execute(&booking()).await?;
    let count = query_one(&client, "select count(*) from booking where id = 1").await?;
    println!("sent booking 1 again with its request id; it is stored {count} time");
    ensure!(count == "1", "the booking was made {count} times");
    Ok(())
}

/// Returns the first column of the first row of a query.
async fn query_one(client: &Client, sql: &str) -> Result<String> {
    let messages = client.simple_query(sql).await.wrap_err_with(|| sql.to_owned())?;
    let mut rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    rows.next().ok_or_else(|| eyre!("no row for {sql}"))
}
