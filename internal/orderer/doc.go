// Package orderer sends orders to the fleet's engines. One node at a time is
// the leader: it holds a lease in the platform's store and carries out the
// actions that package roller plans.
package orderer
