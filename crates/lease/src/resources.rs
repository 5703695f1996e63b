/// Resources that a task needs or a backend server has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// millicores
    pub cpu: u32,
    /// MB
    pub memory: u32,
    /// accelerators
    pub gpu: u32,
}

impl Resources {
    /// Whether `available` covers all of it.
    pub fn fits(self, available: Resources) -> bool {
        self.cpu <= available.cpu && self.memory <= available.memory && self.gpu <= available.gpu
    }

    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// The difference, 0 where `other` is larger.
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    pub fn times(self, count: u32) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// How many tasks that each need `task` fit in here.
    pub fn room_for(self, task: Resources) -> u32 {
        let parts = [(self.cpu, task.cpu), (self.memory, task.memory), (self.gpu, task.gpu)];
        parts.into_iter().filter(|(_, t)| *t > 0).map(|(r, t)| r / t).min().unwrap_or(u32::MAX)
    }
}
