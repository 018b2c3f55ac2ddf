//! Discrete-event simulation of a fleet of gateways.
//!
//! Each simulated gateway runs the real policy ([`oliverack::Gateway`]); endpoints, discovery, the counter, the
//! tenants and the network are models. All sizes, rates and faults come from a TOML file and all random numbers from
//! a seed, so that two runs of the same file and seed give the same results, except for processor times.

pub mod configuration;
pub mod counter;
pub mod counter_calls;
pub mod discovery;
pub mod endpoints;
pub mod event_queue;
pub mod gateways;
pub mod incident_plan;
pub mod measures;
pub mod processor;
pub mod randomness;
pub mod report;
pub mod requests;
pub mod simulation;
pub mod table;
pub mod tenants;
pub mod validation;
pub mod wire_size;

use configuration::{Configuration, FaultFile};
use oliverack::SettingsError;
use report::Record;
use serde::de::DeserializeOwned;
use simulation::Simulation;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Instant;
use validation::InvalidValue;

/// Help text of the `fleet` command, which describes the experiment file.
const FILE_HELP: &str = "\
The file is TOML; times are in seconds, delays are one way, unknown keys are errors.
  seconds             for how long requests arrive
  [topology]          regions, zones, delay_in_zone, delay_in_region, delay_between_regions
  [gatekeepers]       count (at most 1024), restart_seconds
  [policy]            count_limit, max_attempts, second_copies, may_cancel, max_retry_after
  [workers]           count (at most 16384), cells, slots, queue (further requests are rejected), service_seconds,
                      service_seconds_per_unit, service_variation (share that is exponentially distributed),
                      cold_from, cold_seconds, fall_multiple, fall_seconds (both only used by the policy)
  [discovery]         mode = \"push\" | \"ask\", lateness = [least, most], calls_per_second, give_up_after,
                      watch_seconds
  [counter]           parts, calls_per_second (of each part), queue (of each part), delay; may be left out
  [tenants]           count (at most 65536), spread = [least, most], skew = [least, most], max_units
  [clients]           max_retries, retry_share, retry_seconds, front_notices_after, request_body, answer_body
  [[classes]]         name, share, aim, late_worth, deadline, worth, repeat = \"safe\" | \"keyed\" | \"unsafe\", window
  [[plans]]           name, share, rate, burst, pays; open, excess_worth, overrun_cost, ceiling_rate, ceiling_burst
  [[usage]]           name, share, of_rate = [least, most]; spike_factor, spike_seconds, spike_every
  [[faults]]          kind = \"restart-at-once\" (at, share) | \"restart-one-by-one\" (from, until, count)
                      | \"lose-zone\" (at, until, zone) | \"cut-counter\" (at, until, zone)
                      | \"slow-counter\" (at, until, factor) | \"silence-counter\" (at, until)
                      | \"forget-counts\" (at, share) | \"crash-workers\" (at, until, share)
                      | \"hang-workers\" (at, until, share) | \"drain-workers\" (at, until, share)
                      | \"replace-workers\" (from, until, count)
The load follows from the tenants, their plans and their usage; the table shows it as nominal requests a second
(at most 1000000). Bytes are those of the messages of HTTP and of the counter, without those of TCP.
Examples are in lab/experiments/.";

/// Arguments of the `fleet` command.
#[derive(Debug, clap::Args)]
#[command(after_help = FILE_HELP)]
pub struct Arguments {
    /// TOML file that describes the run.
    pub file: PathBuf,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// TOML file with further `[[faults]]`, to run the same fleet under different faults.
    #[arg(long)]
    pub faults: Option<PathBuf>,
    /// Write all results to this file, one JSON record a line.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Errors of the `fleet` command.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A file cannot be read.
    #[error("cannot read {}: {source}", .path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: io::Error,
    },
    /// A file is not valid TOML, or has unknown or missing keys. The message is one line and gives the line number,
    /// if known.
    #[error("{0}")]
    Syntax(String),
    /// A value in the configuration is out of range.
    #[error(transparent)]
    InvalidValue(#[from] InvalidValue),
    /// The policy rejects its settings.
    #[error("the policy rejects its settings: {0}")]
    Settings(#[from] SettingsError),
    /// The results cannot be written to a file.
    #[error("cannot write {}: {source}", .path.display())]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The table cannot be printed.
    #[error("cannot print the results: {0}")]
    Print(io::Error),
}

/// Parses and validates a configuration.
///
/// # Errors
/// The text is not valid TOML, has an unknown or missing key, or a value out of range.
pub fn parse(text: &str) -> Result<Configuration, Error> {
    let configuration = read_toml(text)?;
    validation::check(&configuration)?;
    Ok(configuration)
}

/// Appends the faults of a second file to a configuration.
///
/// # Errors
/// The same as for [`parse`]. The configuration may then hold invalid faults and must not be used.
pub fn add_faults(configuration: &mut Configuration, text: &str) -> Result<(), Error> {
    let file: FaultFile = read_toml(text)?;
    configuration.faults.extend(file.faults);
    validation::check(configuration)?;
    Ok(())
}

fn read_toml<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    toml::from_str(text).map_err(|error| Error::Syntax(one_line_message(text, &error)))
}

/// Returns the parser's message on one line, with the line number of the error if the parser gives one.
fn one_line_message(text: &str, error: &toml::de::Error) -> String {
    let message = error.message().replace('\n', " ");
    match error.span() {
        Some(span) => {
            let line = text.bytes().take(span.start).filter(|byte| *byte == b'\n').count() + 1;
            format!("line {line}: {message}")
        }
        None => message,
    }
}

/// Simulates a fleet and returns the records of the run.
///
/// # Errors
/// The policy rejects its settings.
pub fn simulate(configuration: Configuration, seed: u64) -> Result<Vec<Record>, Error> {
    let started = Instant::now();
    let simulation = Simulation::new(configuration, seed)?;
    let result = simulation.run()?;
    Ok(report::records(&result, seed, started.elapsed().as_secs_f64()))
}

/// Runs the `fleet` command: prints the table of results and writes the JSON file if one is requested.
///
/// # Errors
/// A file cannot be read or is invalid, the policy rejects its settings, or the results cannot be written.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    let mut configuration = parse(&read_text(&arguments.file)?)?;
    if let Some(path) = &arguments.faults {
        add_faults(&mut configuration, &read_text(path)?)?;
    }
    let records = simulate(configuration, arguments.seed)?;
    if let Some(path) = &arguments.json {
        write_json(path, &records).map_err(|source| Error::Write { path: path.clone(), source })?;
    }
    write!(io::stdout().lock(), "{}", table::Table(&records)).map_err(Error::Print)
}

fn read_text(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })
}

fn write_json(path: &Path, records: &[Record]) -> io::Result<()> {
    let mut file = io::BufWriter::new(fs::File::create(path)?);
    for record in records {
        serde_json::to_writer(&mut file, record)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}
