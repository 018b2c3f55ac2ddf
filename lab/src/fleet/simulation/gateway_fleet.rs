//! All gateways of a run, and the processor times of their policies.

use crate::fleet::configuration::Configuration;
use crate::fleet::gateways::{GatewayAddress, SimulatedGateway, policy_settings};
use crate::fleet::processor::ProcessorTimes;
use crate::fleet::randomness::{Stream, stream};
use oliverack::{Action, Event, SettingsError, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Gateways, by index, with their current incarnations.
#[derive(Debug)]
pub struct GatewayFleet {
    gateways: Vec<SimulatedGateway>,
    /// Draws the seed of each policy.
    policy_seed_generator: ChaCha8Rng,
    processor_times: ProcessorTimes,
}

impl GatewayFleet {
    /// Returns all gateways, running in their first incarnation.
    ///
    /// # Errors
    /// The policy rejects its settings.
    pub fn new(configuration: &Configuration, seed: u64) -> Result<Self, SettingsError> {
        let mut policy_seed_generator = stream(seed, Stream::Policies);
        let mut gateways = Vec::new();
        for index in 0..configuration.gateways.count {
            let zone = index % configuration.topology.zones;
            let settings = policy_settings(configuration, index, zone);
            gateways.push(SimulatedGateway::new(settings, policy_seed_generator.random())?);
        }
        Ok(Self { gateways, policy_seed_generator, processor_times: ProcessorTimes::new() })
    }

    /// Returns the number of gateways, running or down.
    pub fn len(&self) -> usize {
        self.gateways.len()
    }

    /// Returns the indices of the gateways in a zone.
    pub fn in_zone(&self, zone: u32) -> Vec<usize> {
        (0..self.len()).filter(|gateway| self.gateways[*gateway].zone == zone).collect()
    }

    /// Returns the address of the current incarnation of a gateway.
    pub fn address(&self, gateway: usize) -> GatewayAddress {
        GatewayAddress { gateway, incarnation: self.gateways[gateway].incarnation() }
    }

    /// Returns the time at which a gateway went down; `None` if it is running.
    pub fn down_since(&self, gateway: usize) -> Option<Time> {
        self.gateways[gateway].down_since()
    }

    /// Returns whether this incarnation is the current one of its gateway and running.
    pub fn is_running(&self, address: GatewayAddress) -> bool {
        self.gateways[address.gateway].is_running(address.incarnation)
    }

    /// Notifies the policy of a gateway of an event and returns its actions; none if that incarnation has ended.
    pub fn notify(&mut self, now: Time, to: GatewayAddress, event: Event) -> Vec<Action> {
        if !self.is_running(to) {
            return Vec::new();
        }
        self.gateways[to.gateway].notify(now, event, &mut self.processor_times)
    }

    /// Ends the incarnation of a gateway.
    pub fn stop(&mut self, now: Time, gateway: usize) {
        self.gateways[gateway].stop(now);
    }

    /// Starts a gateway that is down and returns the address of its new incarnation.
    ///
    /// # Errors
    /// The policy rejects its settings.
    pub fn start(
        &mut self,
        configuration: &Configuration,
        gateway: usize,
    ) -> Result<GatewayAddress, SettingsError> {
        let zone = self.gateways[gateway].zone;
        let settings = policy_settings(configuration, gateway as u32, zone);
        self.gateways[gateway].start(settings, self.policy_seed_generator.random())?;
        Ok(self.address(gateway))
    }

    /// Records that a request of a tenant has been opened at a gateway.
    pub fn request_opened(&mut self, gateway: usize, tenant: usize) {
        self.gateways[gateway].request_opened(tenant);
    }

    /// Records that a request at a gateway has been closed.
    pub fn request_closed(&mut self, gateway: usize) {
        self.gateways[gateway].request_closed();
    }

    /// Returns the gateways and the processor times at the end of a run.
    pub fn into_parts(self) -> (Vec<SimulatedGateway>, ProcessorTimes) {
        (self.gateways, self.processor_times)
    }
}
