//! Two builds of the program, side by side: what a request costs the one over what it costs the other, in pairs of
//! batches that take turns, so that whatever else the machine does meets both.

use super::{
    Error,
    bounds::BOUND_MEMORY_MB,
    program_row::{Row, TestBed},
    report::{Axis, BASE_SIZE, Subject},
    stand_in_discovery::ListFormat,
};
use std::path::{Path, PathBuf};

/// Requests before those that are measured.
const WARM_UP_REQUESTS: u64 = 1000;

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

/// One of the two programs, running.
struct Side<'a> {
    row: Row<'a>,
    test_bed: TestBed,
    sent: u64,
}

impl<'a> Side<'a> {
    fn start(program: &'a Path, arguments: &Arguments) -> Result<Self, Error> {
        if !program.is_file() {
            return Err(Error::ProgramMissing(program.to_owned()));
        }
        let subject =
            Subject { axis: Axis::Endpoints, gateways: arguments.gateways, size: arguments.endpoints };
        let row = Row {
            program,
            subject,
            requests: arguments.requests,
            connections: arguments.connections,
            changes: 0,
            memory_mb: BOUND_MEMORY_MB,
        };
        let test_bed = TestBed::start(&row)?;
        test_bed.take_list(ListFormat::Compact)?;
        let mut side = Self { row, test_bed, sent: 0 };
        side.batch(WARM_UP_REQUESTS)?;
        Ok(side)
    }

    /// Sends so many requests; the processor time of one, in microseconds.
    fn batch(&mut self, requests: u64) -> Result<f64, Error> {
        let before = self.test_bed.child.processor_time()?;
        let outcome = self.row.load(requests, self.sent).run(self.test_bed.child.address)?;
        let elapsed = self.test_bed.child.processor_time()? - before;
        self.sent += outcome.sent;
        if outcome.served < outcome.sent {
            return Err(Error::TooFewServed { served: outcome.served, sent: outcome.sent });
        }
        Ok(elapsed.as_secs_f64() * 1e6 / outcome.sent as f64)
    }
}

/// Values in their order, of which the middle and the quarters are told.
struct Sorted(Vec<f64>);

impl Sorted {
    fn new(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        Self(values)
    }

    /// The value at a share of the way, from 0 to 1.
    fn at(&self, share: f64) -> f64 {
        self.0[((self.0.len() - 1) as f64 * share).round() as usize]
    }
}

/// Compares the two and prints what a request costs each.
///
/// # Errors
/// Arguments that cannot be used, a program that does not serve, and a ratio above the bound.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    if arguments.pairs == 0 || arguments.requests == 0 || arguments.connections == 0 {
        return Err(Error::Argument("pairs, requests and connections must be above 0"));
    }
    let mut program = Side::start(&arguments.program, arguments)?;
    let mut baseline = Side::start(&arguments.baseline, arguments)?;
    let (mut measured, mut compared) = (Vec::new(), Vec::new());
    for pair in 0..arguments.pairs {
        // Each goes first in turn.
        if pair % 2 == 0 {
            measured.push(program.batch(arguments.requests)?);
            compared.push(baseline.batch(arguments.requests)?);
        } else {
            compared.push(baseline.batch(arguments.requests)?);
            measured.push(program.batch(arguments.requests)?);
        }
    }
    let ratios = Sorted::new(measured.iter().zip(&compared).map(|(one, other)| one / other).collect());
    let (measured, compared) = (Sorted::new(measured), Sorted::new(compared));
    println!("processor time a request [us], middle of {} batches:", arguments.pairs);
    println!("  program  {:.2}", measured.at(0.5));
    println!("  baseline {:.2}", compared.at(0.5));
    println!("ratio of a pair: {:.4} ({:.4} to {:.4})", ratios.at(0.5), ratios.at(0.25), ratios.at(0.75));
    match arguments.bound {
        Some(bound) if ratios.at(0.5) > bound => Err(Error::RatioExceeded { ratio: ratios.at(0.5), bound }),
        _ => Ok(()),
    }
}
