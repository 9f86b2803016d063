package site

// SeedAddresses is seedAddresses, for its script.
var SeedAddresses = seedAddresses
