// Package crowd tests a process under many clients that nobody controls: they
// send bodies without an end, keep connections idle and read no answers. Each
// script under testdata names the crowds, the ordinary requests that must be
// served while the crowds stay open, and the bounds on memory and descriptors.
package crowd
