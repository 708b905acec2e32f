Feature: Four processes in two zones keep every promise through faults

  Scenario: Kill, pause, outage, cut and planned stop
    Given four daemon processes in two zones with stand-ins
    When one process is killed while sign-offs run
    Then every sign-off has run at most once and can be asked about
    When the holder of a zone's lease is paused until another one holds it, and wakes
    Then exactly one process holds the lease
    When the platform goes down
    Then models answer and a sign-off is refused as not run
    When the platform comes back
    Then that sign-off runs once
    When the zones lose each other and one of them the platform
    And a version is accepted meanwhile
    Then both zones answer from what they hold
    When the zones meet again
    Then the version is in force at every process and none went back
    When a process is asked to stop while it streams
    Then the stream comes whole and the process exits with 0
    And no engine ever held more than its memory
