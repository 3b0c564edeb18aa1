//! `goldcrest-standin platform`: the stand-in as a process.

use super::{
    load,
    server::{Options, Server},
};
use eyre::Result;
use std::path::Path;

/// Runs until the process is ended; prints the address once it listens.
///
/// # Errors
/// When an option is wrong, the file cannot be loaded or the address cannot be listened on.
pub fn run(words: &[String]) -> Result<()> {
    let mut flags = getopts::Options::new();
    flags.optflag("h", "help", "print this help");
    flags.optopt("", "listen", "where to listen, 127.0.0.1:0 by default", "IP:PORT");
    flags.optopt("", "load", "configuration objects to put into the store", "FILE");
    let chosen = flags.parse(words)?;
    if chosen.opt_present("help") {
        print!("{}", flags.usage("goldcrest-standin platform [options]"));
        return Ok(());
    }
    let mut options = Options::default();
    if let Some(listen) = chosen.opt_str("listen") {
        options.listen = listen.parse()?;
    }
    if let Some(file) = chosen.opt_str("load") {
        let count = load::load(&options.platform, Path::new(&file))?;
        println!("loaded {count} objects");
    }
    let server = Server::start(options)?;
    println!("listening on {}", server.address());
    server.wait();
    Ok(())
}
