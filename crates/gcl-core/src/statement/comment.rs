//! Options of one statement in its leading comment: `/* goldcrest: max_age=2s, route=17 */`.

use super::Options;
use crate::code::{Code, Fault, Result};
use compact_str::format_compact;
use std::time::Duration;

/// What marks a comment as the proxy's.
const MARK: &str = "goldcrest:";
/// Longest `max_age` and `timeout`.
const LONGEST: Duration = Duration::from_hours(24);
/// Most bytes of a route key.
const ROUTE_BYTES: usize = 256;
/// Hexadecimal digits of a UUID.
const UUID_DIGITS: usize = 32;

/// The options of the comment that `sql` begins with.
///
/// # Errors
/// [`Code::BadOption`].
pub fn leading(sql: &str) -> Result<Options> {
    let mut options = Options::default();
    let Some(text) = sql.trim_start().strip_prefix("/*") else { return Ok(options) };
    let Some(text) = text.trim_start().strip_prefix(MARK) else { return Ok(options) };
    let (text, _) = text.split_once("*/").ok_or_else(|| bad("the comment does not end"))?;
    for pair in text.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or_else(|| bad("an option has no value"))?;
        let (name, value) = (name.trim(), value.trim());
        if name == "request" {
            options.request = Some(uuid(value)?);
        } else {
            assign(&mut options, name, value)?;
        }
    }
    Ok(options)
}

/// Assigns an option that a session may have as well as a statement.
///
/// # Errors
/// [`Code::BadOption`].
pub fn assign(options: &mut Options, name: &str, value: &str) -> Result<()> {
    match name {
        "max_age" => options.max_age = Some(duration(value)?),
        "repeatable" => options.repeatable = Some(flag(value)?),
        "route" if value.is_empty() || value.len() > ROUTE_BYTES => {
            return Err(bad("a route key has 1 to 256 bytes"));
        }
        "route" => options.route = Some(value.into()),
        "timeout" => {
            let timeout = duration(value)?;
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

/// Reads a whole number with a unit of `ms`, `s` or `min`; a bare zero needs none.
///
/// # Errors
/// [`Code::BadOption`].
pub fn duration(text: &str) -> Result<Duration> {
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
        .filter(|length| *length <= LONGEST)
        .ok_or_else(|| bad("a duration is a whole number of ms, s or min, at most a day"))
}

fn flag(text: &str) -> Result<bool> {
    match text {
        "yes" | "true" | "on" => Ok(true),
        "no" | "false" | "off" => Ok(false),
        _ => Err(bad("repeatable is yes or no")),
    }
}

fn uuid(text: &str) -> Result<u128> {
    let digits = text.replace('-', "");
    let good = digits.len() == UUID_DIGITS && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    let id = good.then(|| u128::from_str_radix(&digits, 16).ok()).flatten();
    id.ok_or_else(|| bad("request is a UUID"))
}
