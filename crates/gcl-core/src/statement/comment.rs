//! Options of one statement in its leading comment: `/* goldcrest: max_age=2s, route=17 */`.

use super::Options;
use crate::code::{Code, Fault, Result};
use compact_str::format_compact;
use std::time::Duration;

/// Marks a comment that contains options of the proxy.
const MARKER: &str = "goldcrest:";
/// Upper bound of `max_age` and `timeout`.
const MAX_DURATION: Duration = Duration::from_hours(24);
/// Limit on the bytes of a route key.
const MAX_ROUTE_BYTES: usize = 256;
/// Hexadecimal digits of a UUID.
const UUID_DIGITS: usize = 32;

/// Parses the options in the comment that `sql` begins with.
///
/// # Errors
/// [`Code::BadOption`].
pub fn parse_comment(sql: &str) -> Result<Options> {
    let mut options = Options::default();
    let Some(text) = sql.trim_start().strip_prefix("/*") else { return Ok(options) };
    let Some(text) = text.trim_start().strip_prefix(MARKER) else { return Ok(options) };
    let (text, _) = text.split_once("*/").ok_or_else(|| bad("the comment does not end"))?;
    for pair in text.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or_else(|| bad("an option has no value"))?;
        let (name, value) = (name.trim(), value.trim());
        if name == "request" {
            options.request = Some(parse_uuid(value)?);
        } else {
            set_option(&mut options, name, value)?;
        }
    }
    Ok(options)
}

/// Sets an option that is valid for sessions as well as for single statements.
///
/// # Errors
/// [`Code::BadOption`].
pub fn set_option(options: &mut Options, name: &str, value: &str) -> Result<()> {
    match name {
        "max_age" => options.max_age = Some(parse_duration(value)?),
        "repeatable" => options.repeatable = Some(parse_bool(value)?),
        "route" if value.is_empty() || value.len() > MAX_ROUTE_BYTES => {
            return Err(bad("a route key has 1 to 256 bytes"));
        }
        "route" => options.route = Some(value.into()),
        "timeout" => {
            let timeout = parse_duration(value)?;
            if timeout.is_zero() {
                return Err(bad("a timeout is longer than zero"));
            }
            options.timeout = Some(timeout);
        }
        _ => return Err(Fault::new(Code::BadOption, format_compact!("unknown option {name:?}"))),
    }
    Ok(())
}

fn bad(what: &str) -> Fault {
    Fault::new(Code::BadOption, what)
}

/// Parses a whole number with the unit `ms`, `s` or `min`; zero may have no unit.
///
/// # Errors
/// [`Code::BadOption`].
pub fn parse_duration(text: &str) -> Result<Duration> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number = number.parse::<u32>().ok();
    let length = number.and_then(|number| match unit {
        "ms" => Some(Duration::from_millis(number.into())),
        "s" => Some(Duration::from_secs(number.into())),
        "min" => Some(Duration::from_secs(60 * u64::from(number))),
        "" if number == 0 => Some(Duration::ZERO),
        _ => None,
    });
    length
        .filter(|length| *length <= MAX_DURATION)
        .ok_or_else(|| bad("a duration is a whole number of ms, s or min, at most a day"))
}

fn parse_bool(text: &str) -> Result<bool> {
    match text {
        "yes" | "true" | "on" => Ok(true),
        "no" | "false" | "off" => Ok(false),
        _ => Err(bad("repeatable is yes or no")),
    }
}

fn parse_uuid(text: &str) -> Result<u128> {
    let digits = text.replace('-', "");
    let valid = digits.len() == UUID_DIGITS && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    let id = valid.then(|| u128::from_str_radix(&digits, 16).ok()).flatten();
    id.ok_or_else(|| bad("request is a UUID"))
}
