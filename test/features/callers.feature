Feature: End-to-end handling of requests

  Background:
    Given a running deployment with two zones

  Scenario: The OpenAI client works unchanged
    When the OpenAI client requests a non-streamed response
    And the OpenAI client requests a streamed response
    Then both responses match the complete output of the engine

  Scenario: Concurrent sign-offs with the same idempotency key at two instances are executed once
    When the same sign-off is sent to two instances concurrently
    Then both callers get the same response
    And the service has exactly one entry for its key

  Scenario: A sign-off that completes after its deadline is still recorded
    Given the service takes 800 ms per request
    When a sign-off is sent with a deadline of 300 ms
    Then the caller is told at the deadline that the outcome is unknown
    And retries get the recorded answer of the single execution
    And no instance retains state of these requests

  Scenario: A large recorded answer is replayed from the object store
    Given the service sends large responses
    When the same sign-off is sent to two instances in sequence
    Then both callers get the same response
    And the service has exactly one entry for its key

  Scenario: A sign-off whose connection breaks is not retried
    Given the service closes connections after recording the entry, without a response
    When the same sign-off is sent to two instances in sequence
    Then both responses report an unknown outcome
    And the service has exactly one entry for its key

  Scenario: A stream whose connection breaks is resumed without gaps or duplicates
    Given the engines close the connection of the next stream midway
    When the OpenAI client requests a streamed response
    Then the streamed response matches the complete output of the engine

  Scenario: A stream that stalls is resumed without gaps or duplicates
    Given the engines stall in the next stream
    When the OpenAI client requests a streamed response
    Then the streamed response matches the complete output of the engine

  Scenario: The platform is unavailable
    Given the platform is unavailable
    When a model request and a sign-off with a deadline of 600 ms are sent
    Then the model request succeeds
    And the sign-off is refused with "PA-1201" as not executed
    When the platform is available again
    Then the same sign-off is executed once

  Scenario: Draining completes the requests in flight
    When an instance is drained while a stream and a sign-off are in flight
    Then the stream and the sign-off complete
    And the instance stops

  Scenario: Invalid requests get specific result codes and are not executed
    When these invalid requests are sent
      | invalid JSON            | PA-1001 |
      | body too large          | PA-1002 |
      | unknown model           | PA-1003 |
      | unknown service         | PA-1004 |
      | missing idempotency key | PA-1005 |
      | reused idempotency key  | PA-1006 |
      | invalid deadline        | PA-1007 |
      | invalid priority        | PA-1007 |
      | expired deadline        | PA-1008 |
      | unknown token           | PA-1009 |
      | unknown path            | PA-1010 |
      | missing model           | PA-1011 |
    Then each is refused with its code as not executed
