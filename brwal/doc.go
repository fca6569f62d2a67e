// Package brwal implements the persistent storage of one control replica: a
// write-ahead log of checksummed records in segment files, and the latest
// snapshot. All files are in one data directory.
//
// A segment consists of an 8-byte magic number and a sequence of records. A record
// consists of the payload length (4 bytes, little endian), the CRC32C checksum
// of the payload (4 bytes) and the payload. The payload consists of the sequence
// number (8 bytes), the sequence number of the first record of the same batch
// (8 bytes), the kind (1 byte) and the body.
//
// Each call to Append writes one batch and syncs it once. All records before a
// batch were therefore durable when the batch was written, which allows Open to
// distinguish a torn tail from other corruption. Open truncates torn tails.
// Corruption within the last synced batch can't be distinguished from a torn tail.
//
// An entry record replaces the entries at its index and after it, which may be in earlier
// segments. Compact removes the oldest segments while all their entries are before an index
// that the snapshot has. The remaining records may therefore begin with entries that later
// ones replace from a lower index on, and Open accepts an entry before those that it has read
// up to the one just after the snapshot. An entry beyond that which doesn't continue the log
// is corruption: entries are missing.
//
// A failed write or sync is permanent: the content of the disk is unknown
// afterwards, and the Log rejects all further writes. The process must exit.
package brwal
