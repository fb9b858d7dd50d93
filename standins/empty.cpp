namespace lagoonferry::standin {
}
