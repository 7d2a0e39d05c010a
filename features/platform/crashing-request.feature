Feature: A request that crashes each server that runs it is kept from them, by all instances
  The same request arrives again and again, at every instance, with the same path, caller and body. Sound requests to the same servers differ
  in their bodies.

  # Guards against a request without shared parts that ends servers for ever, and against blaming what waits at those servers.
  Scenario Outline: A request to <path> crashes its servers, with one instance restarted after the third crash
    Given a store, <servers> "<service>" servers that crash on the body "crash" and restart, and 3 router instances
    When for 14 seconds that request and sound ones to "<path>" arrive at every instance
    And instance 0 restarts 500 ms after the third crash of these servers
    Then at most 3 runs of it begin later than 3000 ms after the third crash, and its answers never claim that it has not run when it has
    And at least half of the sound ones later than 6000 ms after it are answered at the first attempt

    Examples: the prompts of the stream share no part with any other
      | path     | service | servers |
      | /read/   | plain   | 3       |
      | /book/   | plain   | 3       |
      | /stream/ | engine  | 6       |

  # Guards against a hold that lasts although the cause is gone.
  Scenario: The servers are mended
    Given a store, 3 "plain" servers that crash on the body "crash" and restart, and 3 router instances
    When the request to "/read/" has been held back, and its servers are mended
    # The hold time after four crashes is 30 s, and each of three instances has a turn of 2 s.
    Then within 45 s it is answered, and soon afterwards at every instance
