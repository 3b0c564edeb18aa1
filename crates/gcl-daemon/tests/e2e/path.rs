//! A statement's full path: the caller, the daemon that forwards it (entry), the daemon that it is
//! routed to (home), and the database.

use crate::fleet::Fleet;
use tokio_postgres::SimpleQueryMessage;

fn rows(messages: &[SimpleQueryMessage]) -> Vec<String> {
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or_default().to_owned()),
        _ => None,
    });
    rows.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_is_written_through_one_entry_and_read_through_another() {
    let fleet = Fleet::start(&["alpha", "beta"]).await;
    fleet.ready();
    let writer = fleet.connect(0).await;
    writer.batch_execute("create table booking (id int primary key, what text)").await.expect("ok");
    writer.batch_execute("insert into booking values (1, 'table with oils')").await.expect("ok");
    let reader = fleet.connect(1).await;
    let found = reader.simple_query("select what from booking where id = 1").await.expect("ok");
    assert_eq!(rows(&found), ["table with oils"]);
}
