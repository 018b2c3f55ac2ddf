//! Compares the processor time of a request between two builds of the program. Their batches take turns in pairs, so
//! that other load on the machine affects both.

use super::{
    Error,
    bounds::BOUND_MEMORY_MB,
    program_row::{MICROSECONDS_PER_SECOND, Row, TestBed},
    report::{Axis, BASE_SIZE, RowKey},
    stand_in_discovery::ListFormat,
};
use std::path::{Path, PathBuf};

/// Requests before those that are measured.
const WARM_UP_REQUESTS: u64 = 1000;
/// Quantile of the median.
const MEDIAN: f64 = 0.5;

/// Arguments of `process compare`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// The program that is measured.
    #[arg(long)]
    program: PathBuf,
    /// The program that it is compared with.
    #[arg(long)]
    baseline: PathBuf,
    /// Pairs of batches.
    #[arg(long, default_value_t = 60)]
    pairs: usize,
    /// Requests in a batch.
    #[arg(long, default_value_t = 500)]
    requests: u64,
    /// Connections that they come on.
    #[arg(long, default_value_t = 4)]
    connections: u64,
    /// Counts of listed workers.
    #[arg(long = "workers", value_name = "WORKERS", default_value_t = BASE_SIZE)]
    endpoints: usize,
    /// Gateways in the programs' settings: few, as each then keeps to many workers, and seldom waits for a connection
    /// to rest.
    #[arg(long, default_value_t = 4)]
    gateways: u32,
    /// Fails where the middle ratio is above this.
    #[arg(long)]
    bound: Option<f64>,
}

/// One of the two builds, running.
struct Candidate<'a> {
    row: Row<'a>,
    test_bed: TestBed,
    sent: u64,
}

impl<'a> Candidate<'a> {
    fn start(program: &'a Path, arguments: &Arguments) -> Result<Self, Error> {
        if !program.is_file() {
            return Err(Error::ProgramMissing(program.to_owned()));
        }
        let row_key =
            RowKey { axis: Axis::Endpoints, gateways: arguments.gateways, size: arguments.endpoints };
        let row = Row {
            program,
            row_key,
            requests: arguments.requests,
            connections: arguments.connections,
            changes: 0,
            memory_mb: BOUND_MEMORY_MB,
        };
        let test_bed = TestBed::start(&row)?;
        test_bed.send_list(ListFormat::Compact)?;
        let mut candidate = Self { row, test_bed, sent: 0 };
        candidate.measure_batch(WARM_UP_REQUESTS)?;
        Ok(candidate)
    }

    /// Sends so many requests. Returns the mean processor time of a request, in microseconds.
    fn measure_batch(&mut self, requests: u64) -> Result<f64, Error> {
        let before = self.test_bed.child.processor_time()?;
        let outcome = self.row.load(requests, self.sent).run(self.test_bed.child.address)?;
        let elapsed = self.test_bed.child.processor_time()? - before;
        self.sent += outcome.sent;
        if outcome.served < outcome.sent {
            return Err(Error::TooFewServed { served: outcome.served, sent: outcome.sent });
        }
        Ok(elapsed.as_secs_f64() * MICROSECONDS_PER_SECOND / outcome.sent as f64)
    }
}

/// Values in rising order, for quantiles.
struct SortedValues(Vec<f64>);

impl SortedValues {
    fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        Self(values)
    }

    /// The value at a quantile from 0 to 1.
    fn quantile(&self, quantile: f64) -> f64 {
        self.0[((self.0.len() - 1) as f64 * quantile).round() as usize]
    }
}

/// Compares the two builds and prints the processor time of a request of each.
///
/// # Errors
/// Invalid arguments, a program that does not serve, and a ratio above the bound.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    if arguments.pairs == 0 || arguments.requests == 0 || arguments.connections == 0 {
        return Err(Error::InvalidArgument("pairs, requests and connections must be above 0"));
    }
    let mut program = Candidate::start(&arguments.program, arguments)?;
    let mut baseline = Candidate::start(&arguments.baseline, arguments)?;
    let mut program_micros = Vec::new();
    let mut baseline_micros = Vec::new();
    for pair in 0..arguments.pairs {
        // Each of the two goes first in every other pair.
        if pair % 2 == 0 {
            program_micros.push(program.measure_batch(arguments.requests)?);
            baseline_micros.push(baseline.measure_batch(arguments.requests)?);
        } else {
            baseline_micros.push(baseline.measure_batch(arguments.requests)?);
            program_micros.push(program.measure_batch(arguments.requests)?);
        }
    }
    let ratios = SortedValues::new(
        program_micros.iter().zip(&baseline_micros).map(|(program, baseline)| program / baseline).collect(),
    );
    let program_micros = SortedValues::new(program_micros);
    let baseline_micros = SortedValues::new(baseline_micros);
    println!("processor time a request [us], middle of {} batches:", arguments.pairs);
    println!("  program  {:.2}", program_micros.quantile(MEDIAN));
    println!("  baseline {:.2}", baseline_micros.quantile(MEDIAN));
    println!(
        "ratio of a pair: {:.4} ({:.4} to {:.4})",
        ratios.quantile(MEDIAN),
        ratios.quantile(0.25),
        ratios.quantile(0.75)
    );
    match arguments.bound {
        Some(bound) if ratios.quantile(MEDIAN) > bound => {
            Err(Error::RatioExceeded { ratio: ratios.quantile(MEDIAN), bound })
        }
        _ => Ok(()),
    }
}
