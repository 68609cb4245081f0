//! Which upstreams there are, learnt by gossip.
