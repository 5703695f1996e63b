//! Choice of an agent for a task, from what is known of each agent.
