// Package brwal keeps the files of one control replica under one data folder:
// segments of checksummed records, and the newest snapshot.
//
// A segment is an 8 byte magic followed by records. A record is the length of
// its payload (4 bytes, little endian), the CRC32C of the payload (4 bytes) and
// the payload: sequence number (8 bytes), sequence number of the first record
// of its batch (8 bytes), kind (1 byte), body. One Append writes one batch and
// syncs it once, so every record before a batch was durable when the batch was
// written. That is how Open tells a torn tail, which it truncates, from damage.
// Damage inside the last batch that was synced can't be told from a torn tail.
//
// A failed write or sync is final: what the disk holds is not known afterwards,
// and the Log refuses every further write. The process has to end.
package brwal
