//! The `process compare` benchmark: compares the processor time per request of two builds of the program. The builds
//! take turns with their batches of requests, so that other load on the machine affects both.

use super::{
    Error,
    bounds::BOUND_MEMORY_MB,
    program_row::{MICROSECONDS_PER_SECOND, ProgramRow, TestBed},
    report::{Axis, BASE_SIZE, RowKey},
    stand_in_discovery::ListFormat,
};
use std::path::{Path, PathBuf};

/// Number of requests before the measured ones.
const WARM_UP_REQUESTS: u64 = 1000;
/// Quantile that is the median.
const MEDIAN: f64 = 0.5;

/// Arguments of `process compare`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// Path of the build that is measured.
    #[arg(long)]
    program: PathBuf,
    /// Path of the build with which it is compared.
    #[arg(long)]
    baseline: PathBuf,
    /// Number of pairs of batches, with one batch for each build.
    #[arg(long, default_value_t = 60)]
    pairs: usize,
    /// Number of requests in a batch.
    #[arg(long, default_value_t = 500)]
    requests: u64,
    /// Number of connections on which the requests are sent.
    #[arg(long, default_value_t = 4)]
    connections: u64,
    /// Number of listed endpoints.
    #[arg(long = "workers", value_name = "WORKERS", default_value_t = BASE_SIZE)]
    endpoints: usize,
    /// Number of gateways in the programs' settings. Low, because each gateway then has many endpoints in its subset,
    /// and seldom has to wait until a connection may be reused.
    #[arg(long, default_value_t = 4)]
    gateways: u32,
    /// Fails if the median ratio is above this bound.
    #[arg(long)]
    bound: Option<f64>,
}

/// One of the two builds with its running process.
struct Candidate<'a> {
    row: ProgramRow<'a>,
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
        let row = ProgramRow {
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

    /// Sends `requests` requests. Returns the mean processor time per request, in microseconds.
    fn measure_batch(&mut self, requests: u64) -> Result<f64, Error> {
        let before = self.test_bed.child.processor_time()?;
        let result = self.row.load(requests, self.sent).run(self.test_bed.child.address)?;
        let processor_time = self.test_bed.child.processor_time()? - before;
        self.sent += result.sent;
        if result.served < result.sent {
            return Err(Error::TooFewServed { served: result.served, sent: result.sent });
        }
        Ok(processor_time.as_secs_f64() * MICROSECONDS_PER_SECOND / result.sent as f64)
    }
}

/// Values in ascending order, from which quantiles are read.
struct SortedValues(Vec<f64>);

impl SortedValues {
    fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        Self(values)
    }

    /// Returns the value at a quantile from 0 to 1.
    fn quantile(&self, quantile: f64) -> f64 {
        self.0[((self.0.len() - 1) as f64 * quantile).round() as usize]
    }
}

/// Compares the two builds, and prints the median processor time per request of each and the ratio.
///
/// # Errors
/// An argument is invalid, a build does not start or does not serve all requests, or the median ratio is above the
/// bound.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    if arguments.pairs == 0 || arguments.requests == 0 || arguments.connections == 0 {
        return Err(Error::InvalidArgument("pairs, requests and connections must be above 0"));
    }
    let mut program = Candidate::start(&arguments.program, arguments)?;
    let mut baseline = Candidate::start(&arguments.baseline, arguments)?;
    let mut program_micros = Vec::new();
    let mut baseline_micros = Vec::new();
    for pair in 0..arguments.pairs {
        // The builds take turns at going first.
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
