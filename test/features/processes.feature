Feature: Four processes in two zones keep all guarantees under faults

  Scenario: Kill, pause, platform outage, network partition and graceful shutdown
    Given four daemon processes in two zones with fake engines, services and a fake platform
    When a process is killed while sign-offs are in flight
    Then every sign-off was executed at most once and every live process reports its outcome
    When the holder of a zone's lease is paused until another process holds the lease, and is then resumed
    Then exactly one process holds the lease
    When the platform becomes unavailable
    Then model requests succeed and a sign-off is refused as not executed
    When the platform recovers
    Then the refused sign-off is executed once when retried
    When the zones are partitioned from each other and one of them from the platform
    And a configuration version is accepted during the partition
    Then both zones serve model requests from their local state
    When the partition heals
    Then every live process has adopted the version and no process reverted to an older one
    When a process receives SIGTERM while it streams a response
    Then the stream completes and the process exits with code 0
    And no engine ever exceeded its memory
