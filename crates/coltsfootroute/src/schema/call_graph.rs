//! Call graph between the operations that a document declares.

use super::{CallEdge, OperationEntry, ServiceEntry};
use crate::name::{OperationName, ServiceName};
use indexmap::IndexMap;

/// Operations of a document and the nested calls between them. Calls to undeclared operations are omitted.
pub(super) struct CallGraph<'a> {
    vertices: IndexMap<(&'a ServiceName, &'a OperationName), Vertex<'a>>,
}

struct Vertex<'a> {
    /// Index of the service in the document, and of the operation in the service.
    position: (usize, usize),
    operation: &'a OperationEntry,
}

impl Vertex<'_> {
    /// Returns the path of the operation in the document. Formatted on demand, since only faults need it: a graph is
    /// also built to find the services that an operation reaches.
    fn path(&self) -> String {
        let (service, operation) = self.position;
        format!("services[{service}].operations[{operation}]")
    }
}

/// Result of one traversal of the whole graph.
pub(super) struct GraphAnalysis {
    /// One entry for each edge that closes a cycle.
    pub cycles: Vec<CallCycle>,
    /// Path of each client entry and the number of calls in its longest chain, including the client's own. Meaningless
    /// for chains that lead into a cycle.
    pub client_depths: Vec<(String, usize)>,
}

/// Cycle of calls.
pub(super) struct CallCycle {
    /// Path of the edge that closes the cycle.
    pub closing_edge: String,
    /// Operations on the cycle, with the first one repeated at the end.
    pub chain: Vec<String>,
}

/// Stack frame of the depth-first traversal: a vertex whose calls are being visited.
struct Frame {
    vertex: usize,
    next_call: usize,
}

#[derive(Clone, Copy, PartialEq)]
enum VisitState {
    Unvisited,
    InProgress,
    /// Finished, with the number of calls in the longest chain from this vertex.
    Depth(usize),
}

impl<'a> CallGraph<'a> {
    /// Creates a graph of the `services` of a document. If an operation is declared twice, the first declaration is
    /// used.
    pub fn new(services: &'a [ServiceEntry]) -> Self {
        let mut vertices = IndexMap::new();
        for (i, service) in services.iter().enumerate() {
            for (j, operation) in service.operations.iter().enumerate() {
                let key = (&service.name, &operation.name);
                vertices.entry(key).or_insert(Vertex { position: (i, j), operation });
            }
        }
        Self { vertices }
    }

    /// Returns the service of each operation that a run of `start` may call at any depth, `start` itself first. Each
    /// operation is visited once.
    pub fn reachable_services(
        &self,
        start: (&ServiceName, &OperationName),
    ) -> Vec<&'a ServiceName> {
        let mut found = indexmap::IndexSet::new();
        found.extend(self.vertices.get_index_of(&start));
        let mut position = 0;
        while let Some(&vertex) = found.get_index(position) {
            found.extend(self.calls(vertex).iter().filter_map(|call| self.callee(call)));
            position += 1;
        }
        found.into_iter().map(|vertex| self.service(vertex)).collect()
    }

    /// Finds cycles and chain depths. Iterative, so that a long chain can't overflow the stack.
    pub fn analyze(&self) -> GraphAnalysis {
        let mut states = vec![VisitState::Unvisited; self.vertices.len()];
        let mut cycles = Vec::new();
        for root in 0..self.vertices.len() {
            if states[root] == VisitState::Unvisited {
                self.visit_from(root, &mut states, &mut cycles);
            }
        }
        let client_depths = self.client_depths(&states);
        GraphAnalysis { cycles, client_depths }
    }

    fn visit_from(&self, root: usize, states: &mut [VisitState], cycles: &mut Vec<CallCycle>) {
        let mut stack = vec![Frame { vertex: root, next_call: 0 }];
        states[root] = VisitState::InProgress;
        while let Some(frame) = stack.last_mut() {
            let (vertex, index) = (frame.vertex, frame.next_call);
            frame.next_call += 1;
            let Some(call) = self.calls(vertex).get(index) else {
                states[vertex] = VisitState::Depth(self.depth(vertex, states));
                stack.pop();
                continue;
            };
            let Some(callee) = self.callee(call) else {
                continue;
            };
            match states[callee] {
                VisitState::Unvisited => {
                    states[callee] = VisitState::InProgress;
                    stack.push(Frame { vertex: callee, next_call: 0 });
                }
                VisitState::InProgress => cycles.push(self.cycle(&stack, callee, index)),
                VisitState::Depth(_) => {}
            }
        }
    }

    /// Returns the number of calls in the longest chain from `vertex`, whose callees are all finished or on a cycle.
    fn depth(&self, vertex: usize, states: &[VisitState]) -> usize {
        let callees = self.calls(vertex).iter().filter_map(|call| self.callee(call));
        let depths = callees.filter_map(|callee| match states[callee] {
            VisitState::Depth(depth) => Some(depth),
            VisitState::Unvisited | VisitState::InProgress => None,
        });
        1 + depths.max().unwrap_or(0)
    }

    fn cycle(&self, stack: &[Frame], callee: usize, index: usize) -> CallCycle {
        let from = stack.iter().position(|frame| frame.vertex == callee).unwrap_or(0);
        let on_cycle = stack[from..].iter().map(|frame| frame.vertex).chain([callee]);
        let chain = on_cycle.map(|vertex| self.label(vertex)).collect();
        let caller = stack.last().map_or(callee, |frame| frame.vertex);
        CallCycle {
            closing_edge: format!("{}.calls[{index}]", self.vertices[caller].path()),
            chain,
        }
    }

    fn client_depths(&self, states: &[VisitState]) -> Vec<(String, usize)> {
        let vertices = self.vertices.values().zip(states);
        vertices
            .filter_map(|(vertex, state)| match state {
                VisitState::Depth(depth) if vertex.operation.client.is_some() => {
                    Some((format!("{}.client", vertex.path()), *depth))
                }
                _ => None,
            })
            .collect()
    }

    fn calls(&self, vertex: usize) -> &'a [CallEdge] {
        &self.vertices[vertex].operation.calls
    }

    fn callee(&self, call: &CallEdge) -> Option<usize> {
        self.vertices.get_index_of(&(&call.service, &call.operation))
    }

    fn service(&self, vertex: usize) -> &'a ServiceName {
        self.vertices.get_index(vertex).map(|((service, _), _)| *service).expect("a known vertex")
    }

    fn label(&self, vertex: usize) -> String {
        let ((service, operation), _) = self.vertices.get_index(vertex).expect("a known vertex");
        format!("{service}/{operation}")
    }
}
