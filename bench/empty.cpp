namespace lagoonferry::bench {
}
