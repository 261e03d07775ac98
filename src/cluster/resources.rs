//! Amounts of processors, GPUs and memory.

/// An amount of each resource that tasks request and machines have.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Processors; fractions are allowed.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in gigabytes.
    pub ram_gb: f64,
}

/// The tolerance of comparisons: sums of decimal amounts deviate from exact values by rounding errors.
pub(super) const RESOURCE_EPSILON: f64 = 1e-6;

impl Resources {
    /// Whether `available` has at least this amount of each resource, up to rounding errors.
    pub fn fits_in(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus + RESOURCE_EPSILON
            && self.gpus <= available.gpus + RESOURCE_EPSILON
            && self.ram_gb <= available.ram_gb + RESOURCE_EPSILON
    }

    /// Adds the other amount to this one.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.ram_gb += other.ram_gb;
    }

    /// Subtracts the other amount from this one.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.ram_gb -= other.ram_gb;
    }
}
