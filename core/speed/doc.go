// Package speed estimates how fast each worker runs tasks, compared with the other workers.
//
// The run time of a task is modelled as the product of four factors: of its step (how much work a task of the
// step is), of its kind (how far the callers' estimates of a kind of work are from the truth), of the worker, and of
// chance. Logarithms turn the product into a sum, and each factor is estimated as a mean that is shrunk to the
// level above until there is evidence: a step to its kind's expectation, a worker to the usual speed. Tasks of the same
// step on different workers are the main evidence, because their work is nearly the same.
//
// Decomposing performance by job and machine follows Quasar (Delimitrou and Kozyrakis, ASPLOS 2014) and Gavel
// (Narayanan et al., OSDI 2020). Their profiling runs and matrix factorisation are left out: tasks here last seconds,
// and a worker has one speed for all kinds of work.
package speed
