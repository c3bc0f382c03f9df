// Package arranger decides which models and adapters are loaded on which
// upstreams.
//
// Plan is a pure function of what is loaded on the upstreams, the demand, and
// the time. It returns moves: sequences of orders, each for one upstream. It is
// called again after every change, so a move only has to be right for the
// current state.
//
// The workload that it is designed for: a few models and adapters receive most
// requests and change during the day, many others are requested now and then,
// and the memory of all upstreams together holds about one replica of each.
// Loads from the weight store are slow, and few can run at once; weights on an
// upstream's disk or in its host memory are loaded within a second.
//
// The rules:
//
//   - Models that are requested but not loaded on any upstream come first, in
//     the order of their benefit. Busy models get more replicas by their rate.
//   - Requests for the rest of streams can run at one software version only. Where they wait
//     and no upstream of their version has the model, its load is placed before all others
//     and takes over what drains for new requests: these can go to upstreams of any version.
//   - The last replica at a version where streams run, or ran a few seconds ago, costs more to
//     unload: their clients may take them up again there.
//   - Models are unloaded where that costs least. A replica whose requests other
//     replicas can serve costs little, the last replica of a requested model
//     costs its rate, and one that requests wait for is not unloaded.
//   - A model to be unloaded that still runs requests gets no new ones until
//     these have ended. If it were unloaded at once, its engine would accept no
//     other order until then.
//   - A load from the store starts only while fewer loads run than the limit of
//     the store. Spare capacity of the store is used to prefetch models whose
//     weights are on no upstream.
//   - An upstream with an order in flight gets no other.
//   - Adapters are loaded on demand and replace the least recently used one.
package arranger
