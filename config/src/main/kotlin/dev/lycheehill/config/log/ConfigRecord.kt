package dev.lycheehill.config.log

/** One record of stream `config` in the format of this release. */
sealed interface ConfigRecord
