//! The cases of the second review that are scripts: `case NUMBER FOLDER` plays one, writes
//! `record.txt` into the folder, and exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. `TROUBLE=0` plays it without the disruption.

mod cases;
mod json;
mod server;
mod store;
mod world;

use std::{env, path::PathBuf, process::exit, thread, time::Duration};
use world::World;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<_> = env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: case NUMBER FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let apart = ["alpha", "beta", "gamma"];
    type Play = fn(&mut World) -> Option<bool>;
    let (zones, sync_replicas, play): (_, _, Play) = match case.as_str() {
        "transaction" => (apart, 0, cases::transaction),
        "lost" => (["alpha", "alpha", "beta"], 1, cases::lost),
        "memory" => (apart, 0, cases::memory),
        "hang" => (apart, 0, cases::hang),
        "values" => (apart, 0, cases::values),
        "foreign" => (apart, 0, cases::foreign),
        _ => exit(2),
    };
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let outcome = World::start(&folder, trouble, zones, sync_replicas).and_then(|mut world| {
            let outcome = play(&mut world);
            world.record.line(&format!("outcome: {outcome:?} (true: the rule was broken)"));
            outcome
        });
        // The world is dropped by now, and its processes have ended.
        let _ = sender.send(outcome);
    });
    match receiver.recv_timeout(LIMIT) {
        Ok(Some(true)) => {
            println!("the rule was broken");
            exit(1);
        }
        Ok(Some(false)) => println!("the rule held"),
        _ => {
            println!("the case could not run");
            world::kill_all();
            exit(2);
        }
    }
}
